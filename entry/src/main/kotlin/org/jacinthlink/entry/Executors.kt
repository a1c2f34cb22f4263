package org.jacinthlink.entry

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import org.jacinthlink.runtime.supervision.Scope

/** Executor with at most [threads] threads and [queued] waiting tasks. It stops with [scope]. */
internal fun boundedExecutor(
    scope: Scope,
    name: String,
    threads: Int,
    queued: Int
): ThreadPoolExecutor {
    val count = AtomicInteger()
    val executor =
        ThreadPoolExecutor(
            threads,
            threads,
            30,
            TimeUnit.SECONDS,
            LinkedBlockingQueue(queued)
        ) { task -> Thread(task, "$name-${count.incrementAndGet()}").apply { isDaemon = true } }
    executor.allowCoreThreadTimeOut(true)
    scope.onClose { executor.shutdownNow() }
    return executor
}

/** Runs [task], or returns false if there is no room for it. */
internal fun ThreadPoolExecutor.tryExecute(task: () -> Unit): Boolean =
    try {
        execute(task)
        true
    } catch (_: RejectedExecutionException) {
        false
    }
