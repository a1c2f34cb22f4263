package org.jacinthlink.runtime.supervision

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import org.jacinthlink.runtime.events.EventLog

/** Creates the root of a supervisor tree. Failures go to [eventLog] and are counted in [meters]. */
fun rootScope(
    name: String,
    eventLog: EventLog,
    meters: MeterRegistry = SimpleMeterRegistry(),
    restartDelay: RestartDelay = RestartDelay()
): Scope = SupervisedScope(name, ScopeContext(eventLog, meters, restartDelay))

/** What all scopes of one tree share. */
internal class ScopeContext(
    val eventLog: EventLog,
    private val meters: MeterRegistry,
    val restartDelay: RestartDelay
) {
    fun taskFailed(task: String, cause: Throwable, delayMs: Long) {
        meters.counter("jacinthlink.task.failures", "task", task).increment()
        eventLog.record(
            "task_failed",
            null,
            "task" to task,
            "error" to "$cause",
            "at" to cause.stackTrace.firstOrNull(),
            "restart_delay_ms" to delayMs
        )
    }

    fun closeListenerFailed(scope: String, cause: Throwable) =
        eventLog.record("close_failed", null, "scope" to scope, "error" to "$cause")
}

private class SupervisedScope(override val name: String, private val context: ScopeContext) :
    Scope {
    private val lock = Any()
    private val closed = AtomicBoolean(false)
    private val children = ArrayDeque<SupervisedScope>()
    private val listeners = ArrayDeque<() -> Unit>()
    private val tasks = CopyOnWriteArrayList<Thread>()

    override fun child(name: String): Scope =
        SupervisedScope("${this.name}/$name", context).also(::adopt)

    override fun run(name: String, task: () -> Unit) =
        start(name) { SupervisedTask("${this.name}/$name", context, closed::get).run(task) }

    override fun repeat(name: String, intervalMs: () -> Long, task: () -> Unit) =
        start(name) {
            SupervisedTask("${this.name}/$name", context, closed::get).repeat(intervalMs, task)
        }

    override fun onClose(listener: () -> Unit) {
        val added = synchronized(lock) { (!closed.get()).also { if (it) listeners += listener } }
        if (!added) notifyClosed(listener)
    }

    override fun close() {
        synchronized(lock) { if (!closed.compareAndSet(false, true)) return }
        takeAll(children).forEach { it.close() }
        tasks.forEach(Thread::interrupt)
        awaitTasks()
        takeAll(listeners).forEach(::notifyClosed)
    }

    private fun adopt(scope: SupervisedScope) {
        val added = synchronized(lock) { (!closed.get()).also { if (it) children += scope } }
        if (!added) scope.close()
    }

    private fun start(taskName: String, body: () -> Unit) {
        val worker = Thread({ body().also { tasks -= Thread.currentThread() } }, "$name/$taskName")
        worker.isDaemon = true
        synchronized(lock) {
            if (closed.get()) return
            tasks += worker
            worker.start()
        }
    }

    /** A listener may release what the tasks use, so they get a moment to end first. */
    private fun awaitTasks() {
        val deadlineNs = System.nanoTime() + CLOSE_WAIT_MS * 1_000_000
        tasks.filter { it != Thread.currentThread() }.forEach {
            val leftMs = (deadlineNs - System.nanoTime()) / 1_000_000
            if (leftMs > 0) it.join(leftMs)
        }
    }

    private fun notifyClosed(listener: () -> Unit) {
        try {
            listener()
        } catch (e: Exception) {
            context.closeListenerFailed(name, e)
        }
    }

    private fun <T> takeAll(queue: ArrayDeque<T>): List<T> =
        synchronized(lock) { queue.reversed().toList().also { queue.clear() } }

    private companion object {
        const val CLOSE_WAIT_MS = 1_000L
    }
}

/** Runs one task until its scope closes. */
private class SupervisedTask(
    private val name: String,
    private val context: ScopeContext,
    private val isClosed: () -> Boolean
) {
    private var failures = 0

    fun run(task: () -> Unit) {
        while (!isClosed()) {
            val delayMs = attempt(task) ?: return
            if (!sleep(delayMs)) return
        }
    }

    fun repeat(intervalMs: () -> Long, task: () -> Unit) {
        while (!isClosed()) {
            val delayMs =
                attempt {
                    task()
                    failures = 0
                } ?: 0
            // A failure of intervalMs itself must not end the task either.
            val pauseMs = attemptValue(intervalMs) ?: context.restartDelay.maxMs
            if (!sleep(maxOf(delayMs, jittered(pauseMs)))) return
        }
    }

    /** Returns null when [task] returned, or else the delay before the next attempt. */
    private fun attempt(task: () -> Unit): Long? {
        val startNs = System.nanoTime()
        return try {
            task()
            null
        } catch (e: Throwable) {
            if (isClosed()) null else failed(e, startNs)
        }
    }

    private fun <T> attemptValue(value: () -> T): T? {
        var result: T? = null
        attempt { result = value() }
        return result
    }

    private fun failed(cause: Throwable, startNs: Long): Long {
        val ranMs = (System.nanoTime() - startNs) / 1_000_000
        failures = if (ranMs >= context.restartDelay.resetAfterMs) 1 else failures + 1
        val delayMs = context.restartDelay.afterMs(failures)
        context.taskFailed(name, cause, delayMs)
        return delayMs
    }

    /** Returns false if the task must end. */
    private fun sleep(delayMs: Long): Boolean =
        try {
            Thread.sleep(delayMs)
            true
        } catch (_: InterruptedException) {
            // Only closing the scope ends a task; another interrupt just shortens the pause.
            !isClosed()
        }

    // Keeps the processes of a fleet that started together from acting together.
    private fun jittered(delayMs: Long): Long = (delayMs * Random.nextDouble(0.8, 1.2)).toLong()
}
