package org.jacinthlink.sidecar.calls

import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.systemClock

/**
 * Clocks of a sidecar.
 *
 * @property wall Time that instances share, for what is stored.
 * @property monotonic Time that is never set back, for deadlines within the process.
 */
data class SidecarClocks(val wall: Clock, val monotonic: Clock)

/** Clocks of the operating system. */
fun sidecarClocks() = SidecarClocks(systemClock()) { System.nanoTime() / 1_000_000 }
