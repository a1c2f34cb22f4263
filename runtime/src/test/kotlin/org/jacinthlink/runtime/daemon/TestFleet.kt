package org.jacinthlink.runtime.daemon

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.ConfigurationChange
import org.jacinthlink.api.Headers
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.InstanceList
import org.jacinthlink.api.InstanceListResult
import org.jacinthlink.api.KeyValueService
import org.jacinthlink.api.LeaseResult
import org.jacinthlink.api.ListedInstance
import org.jacinthlink.api.ReadResult
import org.jacinthlink.api.Role
import org.jacinthlink.api.Success
import org.jacinthlink.api.SwapResult
import org.jacinthlink.api.VersionedValue
import org.jacinthlink.api.WorkClass
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.peerClient

const val TEST_TOKEN = "a-token-for-tests-only"

/** Key-value service in memory that can be down or lose answers. */
class MemoryKeyValue : KeyValueService {
    private val values = mutableMapOf<String, VersionedValue>()

    @Volatile
    var down = false

    /** Number of swaps to come that take effect and lose their answer. */
    val lostAnswers = AtomicInteger()

    /** Number of swaps to come that are lost on the way. */
    val lostWrites = AtomicInteger()

    /** Called after each swap. */
    @Volatile
    var afterSwap: () -> Unit = {}

    val reads = AtomicInteger()

    override fun get(key: String): ReadResult {
        reads.incrementAndGet()
        return if (down) ReadResult.Unavailable("down") else ReadResult.Found(current(key))
    }

    override fun compareAndSwap(key: String, expectedVersion: Long, value: String): SwapResult {
        if (down) return SwapResult.NotSent("down")
        if (take(lostWrites)) return SwapResult.Unknown("write lost").also { afterSwap() }
        val result = swap(key, expectedVersion, value)
        val lost = result is SwapResult.Swapped && take(lostAnswers)
        afterSwap()
        return if (lost) SwapResult.Unknown("answer lost") else result
    }

    @Synchronized
    fun current(key: String) = values[key]

    @Synchronized
    private fun swap(key: String, expectedVersion: Long, value: String): SwapResult {
        val current = values[key]
        if ((current?.version ?: 0) != expectedVersion) return SwapResult.Conflict(current)
        values[key] = VersionedValue(value, expectedVersion + 1)
        return SwapResult.Swapped(expectedVersion + 1)
    }

    override fun grantLease(ttlMs: Long): LeaseResult = LeaseResult.Unavailable("not used")

    override fun renewLease(leaseId: Long): LeaseResult = LeaseResult.Unavailable("not used")

    private fun take(counter: AtomicInteger) =
        counter.getAndUpdate { (it - 1).coerceAtLeast(0) } > 0
}

/** Instance list in memory that can be down. */
class MemoryInstanceList : InstanceList {
    val entries = ConcurrentHashMap<InstanceId, ListedInstance>()

    @Volatile
    var down = false

    override fun read(): InstanceListResult =
        if (down) {
            InstanceListResult.Unavailable("down")
        } else {
            InstanceListResult.Listed(entries.values.toList())
        }

    fun list(
        name: String,
        address: String,
        leaving: Boolean = false,
        role: Role = Role.SIDECAR
    ) {
        val id = InstanceId(name)
        entries[id] = ListedInstance(id, role, address, "zone-a", leaving)
    }
}

/** Instance list that adds the reader, and answers when all [others] are in it. */
private class JoiningInstanceList(
    private val list: MemoryInstanceList,
    private val others: CountDownLatch,
    private val context: () -> DaemonContext
) : InstanceList {
    private val joined = AtomicBoolean(false)

    override fun read(): InstanceListResult {
        if (joined.compareAndSet(false, true)) {
            list.list(context().settings.name, context().address)
            others.countDown()
            others.await(5, TimeUnit.SECONDS)
        }
        return list.read()
    }
}

/** Logic with a settable state and number of requests in execution. */
class TestLogic(override val handler: HttpHandler = { Response(Status.NOT_FOUND) }) : DaemonLogic {
    val openWork = AtomicInteger()

    @Volatile
    var ready = true

    override fun isOpen(path: String) = path.startsWith("/open")

    override fun state() = DaemonState(ready)

    override fun openWork() = openWork.get()
}

/** Daemons of one JVM that share a platform. */
class TestFleet : AutoCloseable {
    val keyValue = MemoryKeyValue()
    val instanceList = MemoryInstanceList()
    val client: PeerClient = peerClient { mapOf(Headers.PEER_TOKEN to TEST_TOKEN) }
    private val started = mutableListOf<DaemonShell>()

    fun start(
        name: String,
        logic: DaemonLogic = TestLogic(),
        seeds: List<String> = emptyList(),
        keyValue: KeyValueService = this.keyValue,
        instanceList: InstanceList = this.instanceList,
        port: Int = 0
    ): DaemonShell = start(name, logic, seeds, keyValue, port) { instanceList }

    private fun start(
        name: String,
        logic: DaemonLogic,
        seeds: List<String>,
        keyValue: KeyValueService,
        port: Int,
        instanceList: (() -> DaemonContext) -> InstanceList
    ): DaemonShell {
        lateinit var context: DaemonContext
        val settings =
            DaemonSettings(
                name = name,
                port = port,
                availabilityZone = "zone-a",
                peerToken = TEST_TOKEN,
                seeds = seeds,
                drainTimeoutMs = 3_000
            )
        val setup =
            DaemonSetup(
                settings,
                Role.SIDECAR,
                { DaemonPlatform(keyValue, instanceList { context }) }
            )
        val outcome =
            startDaemon(setup) {
                context = it
                logic
            }
        val shell = (outcome as Success).value
        started += shell
        return shell
    }

    /** Starts daemons named by [prefix] and a number, and waits until all know each other. */
    fun startListed(
        prefix: String,
        count: Int,
        logic: (Int) -> DaemonLogic = { TestLogic() }
    ): List<DaemonShell> {
        val joined = CountDownLatch(count)
        val nodes =
            (1..count).map { index ->
                start("$prefix-$index", logic(index), emptyList(), keyValue, 0) { context ->
                    JoiningInstanceList(instanceList, joined, context)
                }
            }
        waitUntil(10_000, "mutual knowledge") {
            nodes.all { it.membership.instances().size >= count - 1 }
        }
        return nodes
    }

    fun list(shell: DaemonShell, leaving: Boolean = false) =
        instanceList.list(shell.settings.name, shell.address, leaving)

    fun get(address: String, path: String) =
        client.call(PeerCall("GET", "http://$address$path"), 2_000) as PeerResult.Answered

    override fun close() {
        started.forEach { it.stop() }
        client.close()
    }
}

/** Change that puts the class [name]. */
fun putClass(changeId: String, name: String = changeId, worth: Int = 1) =
    ConfigurationChange.PutClass(changeId, WorkClass(name, targetMs = 750, worth = worth))

/** Waits until [condition] holds; fails after [timeoutMs]. Returns the time taken. */
fun waitUntil(timeoutMs: Long = 5_000, what: String = "condition", condition: () -> Boolean): Long {
    val startNs = System.nanoTime()
    while (!condition()) {
        val elapsedMs = (System.nanoTime() - startNs) / 1_000_000
        check(elapsedMs < timeoutMs) { "$what did not hold within $timeoutMs ms" }
        Thread.sleep(5)
    }
    return (System.nanoTime() - startNs) / 1_000_000
}
