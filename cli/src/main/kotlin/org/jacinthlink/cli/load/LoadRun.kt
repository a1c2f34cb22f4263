package org.jacinthlink.cli.load

import java.util.UUID
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.http.peerClient

/**
 * Runs [plan] as an open loop: requests are sent at their scheduled times, whether or not earlier
 * ones were answered. Returns when each request was answered or given up.
 */
fun runLoad(plan: LoadPlan): LoadReport {
    val observed = observeLoad(plan)
    return loadReport(plan, observed.finished, observed.maxSendDelayUs)
}

/** Like [runLoad], but returns each request. [onStart] is called when the run begins. */
internal fun observeLoad(plan: LoadPlan, onStart: () -> Unit = {}): LoadObservation {
    val client = peerClient(hasCallIds = true)
    try {
        return LoadRun(plan, client).run(onStart)
    } finally {
        client.close()
    }
}

private class LoadRun(private val plan: LoadPlan, private val client: PeerClient) {
    private val requests = schedule(plan)
    private val hangUpAtUs =
        plan.hangUpAtSecond?.let { (it * MICROS_PER_SECOND).toLong() } ?: Long.MAX_VALUE
    private val finished = ConcurrentLinkedQueue<FinishedRequest>()
    private val unfinished = CountDownLatch(requests.size)
    private val runId = UUID.randomUUID().toString().take(RUN_ID_CHARS)
    private val timeouts =
        Executors.newSingleThreadScheduledExecutor { task ->
            Thread(task, "load-timeouts").apply { isDaemon = true }
        }
    private val startNs = System.nanoTime()

    fun run(onStart: () -> Unit): LoadObservation {
        var maxDelayUs = 0L
        onStart()
        requests.forEachIndexed { index, request ->
            awaitTime(request.sendAtUs)
            maxDelayUs = maxOf(maxDelayUs, nowUs() - request.sendAtUs)
            send(request, index, if (plan.retriesRefused) plan.entries.size - 1 else 0)
        }
        unfinished.await()
        timeouts.shutdownNow()
        return LoadObservation(finished.toList(), maxDelayUs)
    }

    private fun send(request: ScheduledRequest, entry: Int, retries: Int) {
        val entryUrl = plan.entries[entry % plan.entries.size]
        val listener =
            RequestListener(request, ::nowUs) {
                if (it.outcome == RequestOutcome.NOT_SENT && retries > 0) {
                    send(request, entry + 1, retries - 1)
                } else {
                    finished += it
                    unfinished.countDown()
                }
            }
        val timeoutMs = request.stream.callTimeoutMs ?: plan.callTimeoutMs
        val call =
            client.stream(peerCall(request, entryUrl, runId), timeoutMs, listener)
        val givenUpAtUs =
            minOf(request.sendAtUs + timeoutMs * MICROS_PER_MS, hangUpAtUs)
        val leftUs = givenUpAtUs - nowUs()
        timeouts.schedule({ call.cancel() }, leftUs, TimeUnit.MICROSECONDS)
    }

    private fun awaitTime(timeUs: Long) {
        var leftUs = timeUs - nowUs()
        while (leftUs > 0) {
            LockSupport.parkNanos(leftUs * NANOS_PER_MICRO)
            leftUs = timeUs - nowUs()
        }
    }

    private fun nowUs() = (System.nanoTime() - startNs) / NANOS_PER_MICRO

    private companion object {
        const val RUN_ID_CHARS = 8
        const val MICROS_PER_MS = 1_000L
        const val MICROS_PER_SECOND = 1e6
        const val NANOS_PER_MICRO = 1_000L
    }
}
