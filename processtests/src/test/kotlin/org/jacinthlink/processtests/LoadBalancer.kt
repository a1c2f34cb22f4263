package org.jacinthlink.processtests

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.peerClient

private const val CHECK_INTERVAL_MS = 250L

/**
 * Spreads callers over the entries at [addresses] whose last check of `GET /health` succeeded.
 *
 * A check that failed takes an entry out, so that callers meet a stopping entry for up to one
 * interval, as behind the balancer of a platform.
 */
class LoadBalancer(private val addresses: List<String>) : AutoCloseable {
    private val client = peerClient()
    private val inService = ConcurrentHashMap.newKeySet<String>().apply { addAll(addresses) }
    private val next = AtomicInteger()

    @Volatile private var isOpen = true

    private val checks =
        thread(name = "health-checks", isDaemon = true) {
            while (isOpen) {
                addresses.forEach { if (isHealthy(it)) inService += it else inService -= it }
                Thread.sleep(CHECK_INTERVAL_MS)
            }
        }

    /** A caller at the next entry in service. */
    fun caller(workspace: String): Caller {
        val present = addresses.filter { it in inService }.ifEmpty { addresses }
        return Caller(present[next.getAndIncrement().mod(present.size)], workspace)
    }

    /** True if callers reach all entries. */
    fun hasAll(): Boolean = inService.size == addresses.size

    override fun close() {
        isOpen = false
        checks.join()
        client.close()
    }

    private fun isHealthy(address: String): Boolean {
        val answer = client.call(PeerCall("GET", "http://$address/health"), 1_000, fresh = true)
        return answer is PeerResult.Answered && answer.isSuccess
    }
}
