package org.jacinthlink.decision.paths

/** Fewer servers may well be silent together. */
private const val SEVERAL = 4

/**
 * True if servers that were asked together are silent because of this machine.
 *
 * Load pattern: a path stands still under load, and a machine with a fifth of a core or a thin link
 * asks all its servers at once. It reads the answers one after the other, the last ones long after
 * they came. Servers fail one by one; when most of them seem silent, the machine is late.
 *
 * @param asked Servers that were asked at about the same time.
 * @param unanswered Those of them that have not answered yet.
 */
fun isOwnDelay(asked: Int, unanswered: Int): Boolean = asked >= SEVERAL && unanswered * 2 > asked
