package org.jacinthlink.runtime

/** A daemon that was started in this JVM. */
interface RunningProcess {
    /** Host and port that it listens on. */
    val address: String

    /** Begins a graceful stop: takes no new work and ends when the present work is done. */
    fun drain()

    /** Waits until the process has stopped. */
    fun awaitStopped()

    /** Stops at once. */
    fun stop()
}
