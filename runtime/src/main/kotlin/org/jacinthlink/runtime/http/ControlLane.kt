package org.jacinthlink.runtime.http

import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/**
 * Threads for control requests only.
 *
 * Without them a flood of slow calls would delay health checks and descriptions until peers and
 * the platform take the process for dead.
 */
internal class ControlLane(private val isControl: (path: String) -> Boolean) {
    private val threads: ExecutorService =
        Executors.newFixedThreadPool(THREADS) { task ->
            Thread(task, "http-control").apply { isDaemon = true }
        }

    /** Executor for [path], or null if the common workers serve it. */
    fun executorFor(path: String): ExecutorService? = threads.takeIf { isControl(path) }

    /** Ends the threads. */
    fun stop() {
        threads.shutdownNow()
    }

    private companion object {
        const val THREADS = 4
    }
}
