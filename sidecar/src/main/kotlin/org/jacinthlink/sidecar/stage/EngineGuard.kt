package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.EngineInput
import org.jacinthlink.api.EngineOutput
import org.jacinthlink.api.EngineResult
import org.jacinthlink.api.ModelEngine
import org.jacinthlink.api.StreamKey
import org.jacinthlink.decision.stage.stepTimeEstimator
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.events.EventLog

/**
 * The engine beside this sidecar, with its readiness.
 *
 * @property order Loads the layers again; called after each loss of the engine.
 * @param tokensPerSecond Nominal speed, from which the time of a step follows until it is measured.
 */
internal class EngineGuard(
    private val engine: ModelEngine,
    private val order: () -> EngineResult<Unit>,
    private val clock: Clock,
    private val events: EventLog,
    tokensPerSecond: Double
) {
    private val lock = Any()
    private var stepsInProgress = 0
    private var stepProgressMs = 0L
    private var stepProgressNs = 0L
    private var loads = 0L
    private val stepTimeEstimator = stepTimeEstimator(tokensPerSecond)

    @Volatile
    var ready = false
        private set

    /** True while the engine holds its layers and no step has stalled for longer than [stallMs]. */
    fun isServing(nowMs: Long, stallMs: Long): Boolean = ready && stepAgeMs(nowMs) <= stallMs

    /** Time that the engine has worked on its present step; 0 if it has none. */
    fun stepAgeMs(nowMs: Long): Long =
        synchronized(lock) { if (stepsInProgress == 0) 0 else nowMs - stepProgressMs }

    /**
     * Runs a step. Several may be in progress, and the engine runs them one after the other.
     *
     * @return Null if the engine was lost and loaded again meanwhile: its streams are lost already.
     *   Also null if the stage is stopping, which interrupts the call: that is no loss.
     */
    fun step(inputs: List<EngineInput>): EngineResult<List<EngineOutput>>? {
        val load = begin()
        val result = engine.step(inputs)
        return synchronized(lock) {
            stepsInProgress--
            val elapsedMs = progress()
            if (result is EngineResult.Done) {
                stepTimeEstimator.record(inputs.sumOf { it.payloads.size }, elapsedMs)
            }
            if (load != loads || Thread.currentThread().isInterrupted) return null
            if (result is EngineResult.Broken || result is EngineResult.NotSent) markLost("$result")
            result
        }
    }

    private fun begin(): Long =
        synchronized(lock) {
            if (stepsInProgress++ == 0) progress()
            loads
        }

    // Returns the time since the last progress, which is that of a step that had to wait.
    private fun progress(): Double {
        val nowNs = System.nanoTime()
        val elapsedMs = (nowNs - stepProgressNs) / NANOS_PER_MS
        stepProgressMs = clock.nowMs()
        stepProgressNs = nowNs
        return elapsedMs
    }

    /** Positions of a step that lasts [stepMs]. */
    fun positionsWithin(stepMs: Double): Int =
        synchronized(lock) { stepTimeEstimator.positionsWithin(stepMs) }

    fun release(stream: StreamKey) {
        engine.release(stream)
    }

    /** Notes that the engine lost its layers. */
    fun markLost(reason: String) {
        ready = false
        events.record("engine_lost", null, "reason" to reason)
    }

    /** Loads the layers if the engine answers. Returns true once the engine is ready. */
    @Synchronized
    fun recover(): Boolean {
        if (ready) return true
        if (engine.load() !is EngineResult.Done) return false
        val result = order()
        synchronized(lock) {
            loads++
            ready = result is EngineResult.Done
        }
        if (ready) {
            events.record("engine_ready")
        } else {
            events.record("engine_load_failed", null, "result" to result)
        }
        return ready
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000.0
    }
}
