package org.jacinthlink.sidecar.placement

import org.jacinthlink.api.Holding
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.runtime.daemon.DaemonContext
import org.jacinthlink.runtime.supervision.Scope
import org.jacinthlink.sidecar.stage.StageDaemon

/**
 * The stage of the layers that the runner holds now. Each change of layers replaces the whole
 * [StageDaemon], since queue, cursors and retained outputs belong to the former layers.
 *
 * @param assemble Makes the stage of a range of layers, with its tasks in the given scope.
 */
internal class MovableStage(
    home: Holding.Stage,
    private val context: DaemonContext,
    private val scope: Scope,
    private val assemble: (Holding.Stage, Scope) -> StageDaemon
) {
    private class Assembly(val holding: Holding.Stage, val scope: Scope, val daemon: StageDaemon)

    @Volatile
    private var present = assembly(home)

    @Volatile
    private var isMoving = false

    @Volatile
    private var isDraining = false

    /** Stage of the present layers. */
    val daemon: StageDaemon get() = present.daemon

    /** Layers that the runner holds or is about to load. */
    val holding: Holding.Stage get() = present.holding

    /** False while the engine is away or changes its layers. */
    val ready: Boolean get() = !isMoving && daemon.ready

    /** Sets the stage to work. */
    fun start() = daemon.start()

    /** Takes no new work from now on, whatever the layers. */
    fun drain() {
        isDraining = true
        daemon.drain()
    }

    /** This stage for a flow plan; null while it serves no streams. */
    fun asFlowStage(): FlowStage? =
        if (!ready || isDraining) {
            null
        } else {
            FlowStage(
                context.instance,
                context.address,
                context.settings.availabilityZone,
                holding
            )
        }

    /** Waits up to [drainMs] for the streams of the present layers, then changes to [holding]. */
    fun moveTo(holding: Holding.Stage, drainMs: Long) {
        val former = present
        isMoving = true
        try {
            former.daemon.drain()
            awaitIdle(former.daemon, drainMs)
            former.scope.close()
            present = assembly(holding)
            if (isDraining) daemon.drain()
            daemon.start()
        } finally {
            isMoving = false
        }
    }

    private fun awaitIdle(daemon: StageDaemon, drainMs: Long) {
        val endAtMs = context.clock.nowMs() + drainMs
        while (daemon.openWork() > 0 && context.clock.nowMs() < endAtMs) Thread.sleep(POLL_MS)
    }

    private fun assembly(holding: Holding.Stage): Assembly {
        val own = scope.child("layers-${holding.firstLayer}-${holding.endLayer}")
        return Assembly(holding, own, assemble(holding, own))
    }

    private companion object {
        const val POLL_MS = 20L
    }
}
