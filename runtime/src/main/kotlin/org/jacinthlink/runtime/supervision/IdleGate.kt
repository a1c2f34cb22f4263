package org.jacinthlink.runtime.supervision

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Holds a repeated task back while it has no work, so that an idle process does not wake up for it.
 *
 * For one task only. The task runs once without work before it is held, so that it can note the
 * end of the work.
 */
class IdleGate(private val hasWork: () -> Boolean) {
    private val lock = ReentrantLock()
    private val arrival = lock.newCondition()
    private var ranIdle = false

    /** Wakes the task; to be called after [hasWork] became true. */
    fun workArrived() = lock.withLock { arrival.signalAll() }

    /** Returns when there is work, or at once if the last run still had some. */
    fun pass() = lock.withLock {
        if (ranIdle) {
            while (!hasWork()) arrival.await()
        }
        ranIdle = !hasWork()
    }
}
