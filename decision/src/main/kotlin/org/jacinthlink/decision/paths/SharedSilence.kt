package org.jacinthlink.decision.paths

/** Fewer servers may well be silent together. */
private const val SEVERAL_SERVERS = 4

/** Streams that stand still have been without an event for longer than between two events. */
private const val STILL_MS = 65L

/** The same for one or two streams, which pause while their engines read other prompts. */
private const val LONELY_STILL_MS = 110L

/** A stream with a later event than this is not held up by a server that has just died. */
private const val QUIET_MS = 40L

/** A stream that flows has its events closer together than this. */
private const val STANDING_MS = 80L

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
fun isLocalDelay(asked: Int, unanswered: Int): Boolean =
    asked >= SEVERAL_SERVERS && unanswered * 2 > asked

/**
 * True if the streams through a server bear out the word of a peer that it is silent.
 *
 * Load pattern: a server goes dark under load. A fleet of many routers has few streams through it
 * in each of them, and the streams would wait for the answers to questions of every router. A peer
 * that is late itself may be wrong, so a router without standing streams asks for itself.
 *
 * @param agesMs Since the last event of each of the streams.
 */
fun confirmsSuspicion(agesMs: List<Long>): Boolean {
    val timeoutMs = if (agesMs.size >= SEVERAL_STREAMS) STILL_MS else LONELY_STILL_MS
    return agesMs.isNotEmpty() && agesMs.all { it >= timeoutMs }
}

/**
 * True if a stream should leave its path, which passes through a server that is known to be silent.
 *
 * Load pattern: a server dies while events of other streams are on their way through the servers
 * behind it. They come after the server is found silent, so the stream is looked at again later;
 * its engines would give up after 2.5 s only. A stream that goes on shows that the server lives.
 *
 * @param ageMs Since the last event of the stream.
 * @param isNewlyDetected True at the moment when the server is found silent.
 */
fun shouldLeaveUnresponsiveServer(ageMs: Long, isNewlyDetected: Boolean): Boolean =
    ageMs >= if (isNewlyDetected) QUIET_MS else STANDING_MS
