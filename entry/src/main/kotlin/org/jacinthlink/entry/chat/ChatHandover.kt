package org.jacinthlink.entry.chat

import org.jacinthlink.api.InstanceId

/**
 * The open attempts of one chat request: one that serves the caller, and beside a silent one its
 * successor.
 *
 * The current attempt is given up only once its successor has delivered a part of the answer. So a
 * successor that is refused, fails or falls silent costs the caller nothing.
 */
internal class ChatHandover {
    /** The attempt that serves the caller, or null if there is none. */
    var current: ChatAttempt? = null
        private set

    /** The attempt that is to replace [current] and has delivered nothing yet, or null. */
    var successor: ChatAttempt? = null
        private set

    /** All open attempts. */
    val attempts: List<ChatAttempt> get() = listOfNotNull(current, successor)

    /** Heads that have an open attempt. */
    val heads: Set<InstanceId> get() = attempts.map { it.head.instance }.toSet()

    operator fun contains(attempt: ChatAttempt): Boolean =
        attempt === current || attempt === successor

    /** Adds [attempt], beside the current one if there is one. */
    fun add(attempt: ChatAttempt) {
        check(successor == null) { "there is a successor already" }
        if (current == null) current = attempt else successor = attempt
    }

    /** Records a part of the answer by [attempt]; returns the attempt that is needless now. */
    fun delivered(attempt: ChatAttempt): ChatAttempt? {
        val other = attempts.firstOrNull { it !== attempt }
        current = attempt
        successor = null
        return other
    }

    /** Removes [attempt], which has ended; a successor takes the place of the current attempt. */
    fun remove(attempt: ChatAttempt) {
        if (attempt === current) current = successor
        if (attempt in this) successor = null
    }
}
