package org.jacinthlink.sidecar.calls

import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import org.jacinthlink.api.LoadReport
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.WorkClass
import org.jacinthlink.decision.routing.AdmissionDecision
import org.jacinthlink.decision.routing.admission
import org.jacinthlink.decision.routing.fairQueue
import org.jacinthlink.runtime.supervision.IdleGate

/** Calls that wait for a worker, shared fairly between classes and workspaces. */
internal class CallQueue(
    private val settings: CallExecutorSettings,
    classes: Map<String, WorkClass>
) {
    private val lock = ReentrantLock()
    private val isFilled = lock.newCondition()
    private val admission = admission(settings.queueLimits)
    private val fair = fairQueue(classes)
    private val calls = HashMap<StreamKey, PendingCall>()
    private val claiming = HashSet<PendingCall>()
    private val parked = ArrayList<ParkedCall>()
    private var running = 0
    private var meanServiceMs = INITIAL_SERVICE_MS

    private class ParkedCall(val call: PendingCall, val untilMs: Long)

    /** Holds the deadline check back while no call waits. */
    val idleGate = IdleGate { lock.withLock { calls.isNotEmpty() || parked.isNotEmpty() } }

    /** Number of calls that wait or run. */
    val openCalls: Int
        get() = lock.withLock { calls.size + claiming.size + parked.size + running }

    fun update(classes: Map<String, WorkClass>) = lock.withLock { fair.update(classes) }

    fun offer(call: PendingCall, nowMs: Long): AdmissionDecision =
        admit(call, nowMs).also {
            // After the lock of the queue is released, since the gate takes it inside its own.
            if (it == AdmissionDecision.Admitted) idleGate.workArrived()
        }

    private fun admit(call: PendingCall, nowMs: Long): AdmissionDecision = lock.withLock {
        if (openCalls >= settings.maxCalls) {
            return AdmissionDecision.Refused(
                ResultCode.OVERLOADED,
                "${settings.maxCalls} calls are open",
                RETRY_AFTER_MS
            )
        }
        // The service time counts as 0: an estimate above the target would refuse all calls of a
        // class, and without calls it would never be corrected.
        val decision = admission.decide(fair, call.queued, callsPerSecond(), 0.0, nowMs)
        if (decision == AdmissionDecision.Admitted) enqueue(call)
        decision
    }

    /** Sets [call] aside while its claim is on its way, so that it holds no worker. */
    fun awaitClaim(call: PendingCall) = lock.withLock {
        running--
        claiming += call
        // It is charged when it takes a worker for its run.
        fair.charge(call.queued, -call.queued.costTokens)
    }

    /** Lets [call], whose claim was awaited, wait for a worker again. */
    fun resume(call: PendingCall) {
        lock.withLock { if (claiming.remove(call)) enqueue(call) }
        idleGate.workArrived()
    }

    /** Removes [call], whose claim was awaited. */
    fun leave(call: PendingCall) = lock.withLock { claiming.remove(call) }

    /** Sets [call], whose claim was awaited, aside until [untilMs]; then it waits again. */
    fun park(call: PendingCall, untilMs: Long) {
        lock.withLock { if (claiming.remove(call)) parked += ParkedCall(call, untilMs) }
        idleGate.workArrived()
    }

    /** Waits up to [waitMs] for the next call and counts it as running until [finished]. */
    fun take(waitMs: Long, nowMs: () -> Long): PendingCall? = lock.withLock {
        if (fair.size == 0) isFilled.await(waitMs, TimeUnit.MILLISECONDS)
        val next = fair.poll(nowMs()) ?: return null
        running++
        calls.remove(next.id)
    }

    fun finished(serviceMs: Long) = lock.withLock {
        running--
        meanServiceMs += (serviceMs - meanServiceMs) * SMOOTHING
    }

    /** Returns parked calls to the queue when they are due, and removes all expired calls. */
    fun takeExpired(nowMs: Long): List<PendingCall> = lock.withLock {
        val due = parked.filter { it.untilMs <= nowMs }
        parked.removeAll(due.toSet())
        due.forEach { enqueue(it.call) }
        fair.takeExpired(nowMs).mapNotNull { calls.remove(it.id) }
    }

    /** Removes all calls that wait. */
    fun takeAll(): List<PendingCall> = lock.withLock {
        val all = calls.values + claiming + parked.map { it.call }
        calls.keys.toList().forEach(fair::remove)
        calls.clear()
        claiming.clear()
        parked.clear()
        all
    }

    fun load(nowMs: Long): LoadReport = lock.withLock {
        LoadReport(
            queuedRequests = calls.size,
            runningStreams = running,
            expectedWaitMs = calls.size * 1_000 / callsPerSecond(),
            reportedAtMs = nowMs
        )
    }

    private fun enqueue(call: PendingCall) {
        calls[call.queued.id] = call
        fair.offer(call.queued)
        isFilled.signal()
    }

    private fun callsPerSecond() = settings.concurrency * 1_000 / meanServiceMs.coerceAtLeast(0.1)

    private companion object {
        const val INITIAL_SERVICE_MS = 10.0
        const val SMOOTHING = 0.05
        const val RETRY_AFTER_MS = 1_000L
    }
}
