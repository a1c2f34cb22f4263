package org.jacinthlink.decision.paths

/** Fewer servers than this may well be unresponsive at the same time. */
internal const val MIN_PROBED_SERVERS = 4

/** Several streams count as stalled after this time, which is longer than that between events. */
private const val STALL_MS = 65L

/** The same time for one or two streams, which pause while their engines process other prompts. */
private const val FEW_STREAMS_STALL_MS = 110L

/** A stream with an event within this time is not blocked by a server that has just died. */
private const val MIN_AGE_AT_DETECTION_MS = 40L

/** The events of a stream that continues are closer together than this. */
private const val MIN_AGE_AFTER_DETECTION_MS = 80L

/**
 * True if servers that were probed together seem unresponsive because this machine is slow.
 *
 * Load pattern: a path stalls under load, and a machine with a fifth of a core or a slow network
 * link probes all servers of the path at once. The machine reads the responses one after the other,
 * the last ones long after they arrived. Servers fail one by one, so if most of them seem
 * unresponsive, the delay is on this machine.
 *
 * @param probed Number of servers that were probed at about the same time.
 * @param unanswered Number of these servers that have not responded yet.
 */
fun isLocalDelay(probed: Int, unanswered: Int): Boolean =
    probed >= MIN_PROBED_SERVERS && unanswered * 2 > probed

/**
 * True if the silence of streams on this path may be due to the server at [address]: no other
 * server of the path is known to be one of the [unresponsive].
 *
 * Load pattern: a server dies, and a router that is busy with its streams also takes live servers
 * of the same path for dead and reports them. The streams of all routers are stalled by the dead
 * server, which confirms nothing about the others.
 */
fun ServingPath.maySuspect(address: String, unresponsive: Set<String>): Boolean =
    passesThrough(address) &&
        parts.none { it.server.address != address && it.server.address in unresponsive }

/**
 * True if the streams of this router through a server confirm a suspicion, reported by a peer, that
 * the server is unresponsive.
 *
 * Load pattern: a server stops responding under load. In a fleet of many routers, each router has
 * few streams through the server, and these streams would wait until each router has probed the
 * server itself. A peer that is slow itself may be wrong, so a router without stalled streams sends
 * its own probe.
 *
 * @param agesMs Time since the last event of each of the streams.
 */
fun confirmsSuspicion(agesMs: List<Long>): Boolean {
    val timeoutMs = if (agesMs.size >= SEVERAL_STREAMS) STALL_MS else FEW_STREAMS_STALL_MS
    return agesMs.isNotEmpty() && agesMs.all { it >= timeoutMs }
}

/**
 * True if a stream should leave its path, which passes through an unresponsive server.
 *
 * Load pattern: a server dies while events of other streams are still passing through the servers
 * behind it. These events arrive after the server is detected as unresponsive, so the stream is
 * checked again later; its engines would time out only after 2.5 s. A stream that still has events
 * shows that the server is alive.
 *
 * @param ageMs Time since the last event of the stream.
 * @param isNewlyDetected True at the moment when the server is detected as unresponsive.
 */
fun shouldLeaveUnresponsiveServer(ageMs: Long, isNewlyDetected: Boolean): Boolean =
    ageMs >= if (isNewlyDetected) MIN_AGE_AT_DETECTION_MS else MIN_AGE_AFTER_DETECTION_MS
