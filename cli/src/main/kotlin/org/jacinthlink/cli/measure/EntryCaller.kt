package org.jacinthlink.cli.measure

import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import org.jacinthlink.cli.load.FinishedRequest
import org.jacinthlink.cli.load.LoadStream
import org.jacinthlink.cli.load.RequestListener
import org.jacinthlink.cli.load.ScheduledRequest
import org.jacinthlink.cli.load.peerCall
import org.jacinthlink.runtime.http.PeerClient

/** Sends requests to the entry at [entryUrl]. */
internal class EntryCaller(
    private val client: PeerClient,
    private val entryUrl: String,
    private val work: OverheadWork
) : OverheadCaller {
    override fun chat(number: Int): List<Long> {
        val finished = CompletableFuture<FinishedRequest>()
        val request = ScheduledRequest(0, work.chat, number)
        val startNs = System.nanoTime()
        val nowUs = { (System.nanoTime() - startNs) / NANOS_PER_MICRO }
        val listener = RequestListener(request, nowUs) { finished.complete(it) }
        client.stream(peerCall(request, entryUrl, RUN_ID), CALL_TIMEOUT_MS, listener)
        val result = await(finished)
        check(result.isAnswered && !result.isWrong) { "chat $number through the entry: $result" }
        return result.tokenTimesUs
    }

    override fun plainGet(number: Int) = plain(work.plainGet, number)

    override fun keyedPost(number: Int) = plain(work.keyedPost, number)

    private fun plain(stream: LoadStream, number: Int) {
        val call = peerCall(ScheduledRequest(0, stream, number), entryUrl, RUN_ID)
        client.call(call, CALL_TIMEOUT_MS).checkSuccess("${stream.name} through the entry")
    }

    private fun await(finished: CompletableFuture<FinishedRequest>): FinishedRequest =
        try {
            finished.get(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        } catch (e: TimeoutException) {
            throw IllegalStateException("no whole answer in $CALL_TIMEOUT_MS ms", e)
        }

    private companion object {
        const val RUN_ID = "entry"
        const val CALL_TIMEOUT_MS = 10_000L
        const val NANOS_PER_MICRO = 1_000L
    }
}
