package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.WorkClass

/** Shortest time between two tokens that one of [classes] tolerates. */
internal fun shortestTokenGapMs(classes: Map<String, WorkClass>): Double =
    (classes.values.minOfOrNull { it.tokenGapMs } ?: WorkClass.DEFAULT_TOKEN_GAP_MS).toDouble()
