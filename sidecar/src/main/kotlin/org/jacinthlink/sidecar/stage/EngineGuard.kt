package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.EngineInput
import org.jacinthlink.api.EngineOutput
import org.jacinthlink.api.EngineResult
import org.jacinthlink.api.ModelEngine
import org.jacinthlink.api.StreamKey
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.events.EventLog

/**
 * The engine beside this sidecar, with its readiness.
 *
 * @property order Loads the layers again; called after each loss of the engine.
 */
internal class EngineGuard(
    private val engine: ModelEngine,
    private val order: () -> EngineResult<Unit>,
    private val clock: Clock,
    private val events: EventLog
) {
    @Volatile
    private var stepStartedMs = 0L

    @Volatile
    var ready = false
        private set

    /** True while the engine holds its layers and no step has taken longer than [stallMs]. */
    fun isServing(nowMs: Long, stallMs: Long): Boolean = ready && stepAgeMs(nowMs) <= stallMs

    /** Age of the step in progress; 0 if there is none. */
    fun stepAgeMs(nowMs: Long): Long = stepStartedMs.let { if (it == 0L) 0 else nowMs - it }

    fun step(inputs: List<EngineInput>): EngineResult<List<EngineOutput>> {
        stepStartedMs = clock.nowMs()
        val result = engine.step(inputs)
        stepStartedMs = 0
        if (result is EngineResult.Broken || result is EngineResult.NotSent) markLost("$result")
        return result
    }

    fun release(stream: StreamKey) {
        engine.release(stream)
    }

    /** Notes that the engine lost its layers. */
    fun markLost(reason: String) {
        ready = false
        events.record("engine_lost", null, "reason" to reason)
    }

    /** Loads the layers if the engine answers. Returns true once the engine is ready. */
    fun recover(): Boolean {
        if (ready) return true
        if (engine.load() !is EngineResult.Done) return false
        val result = order()
        ready = result is EngineResult.Done
        if (ready) {
            events.record("engine_ready")
        } else {
            events.record("engine_load_failed", null, "result" to result)
        }
        return ready
    }
}
