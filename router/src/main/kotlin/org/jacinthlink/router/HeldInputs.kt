package org.jacinthlink.router

import org.jacinthlink.transport.InputObserver

/** Counts the input that is held back in [metrics], and logs the peers that cause much work. */
internal fun heldInputs(log: DecisionLog, metrics: RouterMetrics): InputObserver =
    InputObserver { peer, heldCount, workMs ->
        metrics.inputHeld(heldCount)
        if (workMs >= LOGGED_WORK_MS) {
            log.event("input_held", "peer" to peer, "held" to heldCount, "work_ms" to workMs)
        }
    }

/** Sound peers that are held back for a moment in a burst are not logged. */
private const val LOGGED_WORK_MS = 100L
