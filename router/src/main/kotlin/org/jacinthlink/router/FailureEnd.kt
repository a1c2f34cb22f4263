package org.jacinthlink.router

import org.jacinthlink.transport.LoopOwner

/**
 * Ends a process that can't go on, so that the platform starts it anew.
 *
 * It runs no shutdown hooks, because they wait for work that nobody does any more. There may be no
 * memory at all, not even for a lock or a class. Its thread therefore exists from the beginning,
 * and looks by itself.
 *
 * @param halt Ends the process with a status.
 */
internal class FailureEnd(private val halt: (status: Int) -> Unit) {
    @Volatile
    private var hasFailed = false

    /** Reserve that is released when the heap may be full, so that a report can be written. */
    @Volatile
    private var spare: ByteArray? = ByteArray(SPARE_BYTES)

    @Volatile
    private var isWorking: () -> Boolean = { true }

    init {
        loadHalt()
        val thread = Thread(::awaitFailure, "failure-end")
        thread.isDaemon = true
        thread.start()
    }

    /** Ends the process shortly; until then a report can be written. Allocates nothing. */
    fun begin() {
        hasFailed = true
        spare = null
    }

    /** Ends the process also when [isWorking], which must allocate nothing, becomes false. */
    fun watch(isWorking: () -> Boolean) {
        this.isWorking = isWorking
    }

    /** Blocks the calling thread, whose work has failed, until the process ends. */
    fun rest() = Thread.sleep(REST_MS)

    /** Ends the process when any of its threads ends with an error. */
    fun watchThreads() {
        Thread.setDefaultUncaughtExceptionHandler { thread, cause ->
            if (cause is Error) begin()
            System.err.println("${thread.name}: ${cause.stackTraceToString()}")
        }
    }

    /**
     * Loads the classes that the JVM needs to end. Without a shutdown hook it would load them at
     * the end, for which there may be no memory.
     */
    private fun loadHalt() {
        val hook = Thread {}
        Runtime.getRuntime().addShutdownHook(hook)
        Runtime.getRuntime().removeShutdownHook(hook)
    }

    private fun awaitFailure() {
        try {
            while (!hasFailed && isWorking()) Thread.sleep(POLL_MS)
            Thread.sleep(REPORT_MS)
        } finally {
            halt(FAILED)
        }
    }

    private companion object {
        const val FAILED = 70
        const val POLL_MS = 100L
        const val SPARE_BYTES = 262_144

        /** Time to write the queue of the log; a blocked output must not keep the process. */
        const val REPORT_MS = 100L

        /** Longer than the end takes, on a busy machine too. */
        const val REST_MS = 5_000L
    }
}

/** Ends the process by [failure] when the router's loop is broken, and reports the cause. */
internal class RouterLoopOwner(private val failure: FailureEnd?, private val log: DecisionLog) :
    LoopOwner {
    override fun onBroken() {
        failure?.begin()
    }

    override fun onCause(cause: String) {
        log.event("broken", "cause" to cause)
        System.err.println("event loop: $cause")
        failure?.rest()
    }
}
