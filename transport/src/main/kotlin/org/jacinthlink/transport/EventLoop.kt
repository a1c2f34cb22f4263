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
class EventLoop internal constructor(
    internal val group: NioEventLoopGroup,
    private val owner: LoopOwner
) {
    private val loop = group.next()

    /** Shares the time of the loop among the peers whose bytes it handles. */
    internal val inputs = InputTurns(System::nanoTime, loop::execute) {
        loop.schedule(it, 0, TimeUnit.NANOSECONDS)
    }

    /** Number of connections whose bytes wait because their peers have sent too much work. */
    val heldInputCount: Int get() = inputs.heldCount

    @Volatile
    private var isStopping = false

    @Volatile
    private var thread: Thread? = null

    /** False once the thread has ended, for whatever reason. */
    val isRunning: Boolean get() = thread?.isAlive ?: true

    init {
        loop.execute {
            thread = Thread.currentThread()
            loopOfThread.set(this)
        }
        loop.terminationFuture().addListener {
            if (!isStopping) {
                owner.onBroken()
                owner.onCause("ended, and its connections with it")
            }
        }
    }

    /** Reports the peers whose bytes have to wait to [observer]. Runs on the loop only. */
    fun observeInput(observer: InputObserver) {
        inputs.observer = observer
    }

    internal fun onBroken() = owner.onBroken()

    internal fun onCause(cause: String) = owner.onCause(cause)

    /** Runs [action] on the loop as soon as possible. */
    fun execute(action: () -> Unit) {
        loop.execute { runGuarded("task", action) }
    }

    /** Runs [action] at once if this is called on the loop, or else on it as soon as possible. */
    internal fun runOnLoop(action: () -> Unit) {
        if (loop.inEventLoop()) action() else execute(action)
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

/**
 * Reports that code of the kind [what] has failed on the event loop, on standard error or, if the
 * loop is broken by it, to the loop's owner.
 *
 * An error such as one for want of memory may have left any object half changed, so the loop counts
 * as broken. A stack that was used up is a fault of the one action, like an exception: a new
 * process would meet it again.
 */
internal fun reportFailure(what: String, cause: Throwable) {
    val loop = if (breaksLoop(cause)) loopOfThread.get() else null
    // Nothing may be allocated before the owner is notified.
    loop?.onBroken()
    val report = "$what failed: ${cause.stackTraceToString()}"
    if (loop != null) loop.onCause(report) else System.err.println("event loop: $report")
}

/** True for an error, or for an exception that was caused by one, as those of Netty's codecs. */
private fun breaksLoop(cause: Throwable): Boolean {
    var current: Throwable? = cause
    var depth = 0
    while (current != null && depth++ < MAX_CAUSES) {
        if (current is Error && current !is StackOverflowError) return true
        current = current.cause
    }
    return false
}

/** The event loop that runs on the present thread, for code of Netty that has no other access. */
private val loopOfThread = ThreadLocal<EventLoop>()

/** A chain of causes may lead back to its beginning. */
private const val MAX_CAUSES = 8

/**
 * Receives the failure of a loop: it has ended without [EventLoop.stop], or an error has left its
 * work undone. A process whose work depends on the loop should then end.
 *
 * The functions may be called on any thread, and more than once.
 */
interface LoopOwner {
    /** The loop is broken. Must allocate nothing, as there may be no memory left. */
    fun onBroken()

    /** Called after [onBroken] with the cause, if there is memory for it. */
    fun onCause(cause: String)
}

private object ErrorOutput : LoopOwner {
    override fun onBroken() = Unit

    override fun onCause(cause: String) = System.err.println("event loop: $cause")
}

/** A scheduled action. */
fun interface Timer {
    /** Cancels all runs of the action that have not started. */
    fun cancel()
}

/**
 * Creates an event loop whose thread name begins with [name].
 *
 * @param owner Receives the failure of the loop. By default, it is reported on standard error.
 */
fun eventLoop(name: String, owner: LoopOwner = ErrorOutput): EventLoop {
    // Netty would otherwise initialize the process's logging library before it opens a socket.
    InternalLoggerFactory.setDefaultFactory(ErrorLoggerFactory)
    return EventLoop(NioEventLoopGroup(1, DefaultThreadFactory(name, true)), owner)
}
