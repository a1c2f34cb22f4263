package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.EngineInput
import org.jacinthlink.api.EngineLoad
import org.jacinthlink.api.EngineOutput
import org.jacinthlink.api.EngineResult
import org.jacinthlink.api.LoadOrder
import org.jacinthlink.api.ModelEngine
import org.jacinthlink.api.StreamKey

/** An engine whose steps end as [onStep] says. */
internal class ScriptedEngine(
    private val onStep: (List<EngineInput>) -> EngineResult<List<EngineOutput>>
) : ModelEngine {
    override fun load(order: LoadOrder) = EngineResult.Done(Unit)

    override fun step(items: List<EngineInput>) = onStep(items)

    override fun release(stream: StreamKey) = EngineResult.Done(Unit)

    override fun load() = EngineResult.Done(EngineLoad(0, 0))
}
