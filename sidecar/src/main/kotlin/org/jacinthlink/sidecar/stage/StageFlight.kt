package org.jacinthlink.sidecar.stage

import org.jacinthlink.api.HopItem

/** A message to the next stage that is not acknowledged yet. */
internal data class StageFlight(val number: Long, val items: List<HopItem>)
