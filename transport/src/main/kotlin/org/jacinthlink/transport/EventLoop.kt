package org.jacinthlink.transport

import io.netty.channel.nio.NioEventLoopGroup
import io.netty.util.concurrent.DefaultThreadFactory
import io.netty.util.internal.logging.InternalLoggerFactory
import java.util.concurrent.TimeUnit

/**
 * The single thread that runs all sockets and timers of a process.
 *
 * All callbacks run on this thread, so its users need no locks.
 */
class EventLoop internal constructor(internal val group: NioEventLoopGroup) {
    private val loop = group.next()

    @Volatile
    private var isStopping = false

    init {
        loop.terminationFuture().addListener {
            if (!isStopping) System.err.println("event loop: ended, and its connections with it")
        }
    }

    /** Runs [action] on the loop as soon as possible. */
    fun execute(action: () -> Unit) {
        loop.execute { runGuarded("task", action) }
    }

    /**
     * Runs [action] after the sockets have been read once more.
     *
     * A timer that is due when the present round ends runs in that round, before the next read.
     * Hence the second timer.
     */
    fun executeAfterRead(action: () -> Unit) {
        schedule(1) { schedule(1, action) }
    }

    /** Runs [action] once after [delayMs]. A failure is reported on standard error. */
    fun schedule(delayMs: Long, action: () -> Unit): Timer {
        val run = Runnable { runGuarded("timer", action) }
        val future = loop.schedule(run, delayMs, TimeUnit.MILLISECONDS)
        return Timer { future.cancel(false) }
    }

    /**
     * Runs [action] every [periodMs], counted from the end of the previous run. A run that fails is
     * reported on standard error and does not end the repetition.
     */
    fun repeat(periodMs: Long, action: () -> Unit): Timer {
        val run = Runnable { runGuarded("periodic task", action) }
        val future = loop.scheduleWithFixedDelay(run, periodMs, periodMs, TimeUnit.MILLISECONDS)
        return Timer { future.cancel(false) }
    }

    private fun runGuarded(kind: String, action: () -> Unit) {
        try {
            action()
        } catch (e: Throwable) {
            // Netty drops errors of tasks, and ends the repetition of a periodic one.
            reportFailure(kind, e)
        }
    }

    /** Starts to close all sockets and to end the thread, and returns at once. */
    fun stop() {
        isStopping = true
        group.shutdownGracefully(0, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val STOP_TIMEOUT_MS = 500L
    }
}

/** Reports on standard error that code of the kind [what] has failed on the event loop. */
internal fun reportFailure(what: String, cause: Throwable) {
    System.err.println("event loop: $what failed: ${cause.stackTraceToString()}")
}

/** A scheduled action. */
fun interface Timer {
    /** Cancels all runs of the action that have not started. */
    fun cancel()
}

/** Creates an event loop whose thread name begins with [name]. */
fun eventLoop(name: String): EventLoop {
    // Netty would otherwise initialize the process's logging library before it opens a socket.
    InternalLoggerFactory.setDefaultFactory(ErrorLoggerFactory)
    return EventLoop(NioEventLoopGroup(1, DefaultThreadFactory(name, true)))
}
