package org.jacinthlink.runtime

/** Source of the present time. Only the outermost layer of a process reads it. */
fun interface Clock {
    /** Milliseconds since the epoch. */
    fun nowMs(): Long
}

/** Clock of the operating system. */
fun systemClock() = Clock { System.currentTimeMillis() }
