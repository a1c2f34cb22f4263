package org.jacinthlink.runtime.supervision

/**
 * A named node of the supervisor tree.
 *
 * A task that throws is logged, counted and started again with a growing delay. Closing a scope
 * closes its children first, newest first.
 */
interface Scope {
    /** Path from the root, as `entry/membership`. */
    val name: String

    /** Creates a child scope. */
    fun child(name: String): Scope

    /** Runs [task] on a thread of its own until it returns. */
    fun run(name: String, task: () -> Unit)

    /** Runs [task] again and again with [intervalMs] between two runs, with some jitter. */
    fun repeat(name: String, intervalMs: () -> Long, task: () -> Unit)

    /** Calls [listener] when the scope closes, newest first. */
    fun onClose(listener: () -> Unit)

    /** Interrupts all tasks and closes all children. */
    fun close()
}
