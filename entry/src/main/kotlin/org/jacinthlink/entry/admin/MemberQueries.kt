package org.jacinthlink.entry.admin

import java.util.concurrent.Callable
import java.util.concurrent.CancellationException
import java.util.concurrent.ExecutionException
import java.util.concurrent.ExecutorService
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlinx.serialization.KSerializer
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.decodeOrNull
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.membership.KnownMember

/**
 * Reads from many members at the same time.
 *
 * @param format Format of an answer.
 * @param timeoutMs Time for all members together.
 */
internal class MemberQueries<T : Any>(
    private val client: PeerClient,
    private val executor: ExecutorService,
    private val format: KSerializer<T>,
    private val timeoutMs: Long
) {
    /** Answers to `GET` [path] by member; null for each that gave no valid one in time. */
    fun ask(members: Collection<KnownMember>, path: String): List<Pair<KnownMember, T?>> {
        val tasks = members.map { Callable { ask(it, path) } }
        val asked = executor.invokeAll(tasks, timeoutMs, TimeUnit.MILLISECONDS)
        return members.zip(asked.map(::resultOf))
    }

    private fun ask(member: KnownMember, path: String): T? {
        val call = PeerCall("GET", "http://${member.listed.address}$path")
        val result = client.call(call, CALL_TIMEOUT_MS)
        if (result !is PeerResult.Answered || !result.isSuccess) return null
        return ProtocolJson.decodeOrNull(format, result.body)
    }

    private fun resultOf(asked: Future<T?>): T? =
        try {
            asked.get()
        } catch (_: CancellationException) {
            null
        } catch (_: ExecutionException) {
            null
        }

    private companion object {
        const val CALL_TIMEOUT_MS = 1_000L
    }
}
