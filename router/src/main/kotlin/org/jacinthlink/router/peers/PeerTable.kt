package org.jacinthlink.router.peers

import org.jacinthlink.decision.retry.AttemptCounts
import org.jacinthlink.transport.isIpv4Host

/** Latest gossip message of each peer, and the hosts that receive messages. */
internal class PeerTable(private val ownInstance: String) {
    private val messageByInstance = LinkedHashMap<String, ReceivedMessage>()
    private val previousStarts = mutableListOf<ReceivedMessage>()
    private val knownHosts = LinkedHashSet<String>()
    private val binaryHosts = HashSet<String>()

    /** Hosts to send messages to. */
    val hosts: List<String> get() = knownHosts.toList()

    /** Records [message], received at [nowMs]. Returns true if its sender is new or back. */
    fun record(message: GossipMessage, nowMs: Long): Boolean {
        if (message.instance == ownInstance) return false
        val last = messageByInstance[message.instance]
        val hasRestarted = last != null && last.message.startedAtMs != message.startedAtMs
        if (last != null && hasRestarted) previousStarts.add(last)
        messageByInstance[message.instance] = ReceivedMessage(message, nowMs)
        knownHosts.add(message.host)
        if (message.readsBinary) binaryHosts.add(message.host) else binaryHosts.remove(message.host)
        return last?.isAlive(nowMs) != true || hasRestarted
    }

    /** True if the router at [host] is known to read the binary format of messages. */
    fun readsBinary(host: String): Boolean = host in binaryHosts

    /** Adds a host that may run a router, unless [host] is not an IPv4 address. */
    fun addHost(host: String) {
        if (isIpv4Host(host)) knownHosts.add(host)
    }

    /** Latest messages of the peers that are alive at [nowMs]. */
    fun alive(nowMs: Long): List<GossipMessage> = receivedWithin(nowMs, ALIVE_MS)

    /** Age of the oldest of the messages that [alive] returns; 0 if there are none. */
    fun oldestAgeMs(nowMs: Long): Long =
        messageByInstance.values.filter { it.isAlive(nowMs) }
            .maxOfOrNull { nowMs - it.receivedAtMs } ?: 0

    /** Latest messages that are at most [ageMs] old. */
    fun receivedWithin(nowMs: Long, ageMs: Long): List<GossipMessage> =
        messageByInstance.values.filter { nowMs - it.receivedAtMs <= ageMs }.map { it.message }

    /** Number of peers that may be running, including those that have stopped sending messages. */
    val size: Int get() = messageByInstance.size

    /**
     * Attempts of requests that the peers have reported within [windowMs].
     *
     * Attempts that a peer made before it stopped sending messages, or before it was restarted,
     * still count.
     */
    fun attempts(nowMs: Long, windowMs: Long): AttemptCounts {
        val recent =
            (messageByInstance.values + previousStarts)
                .filter { nowMs - it.receivedAtMs <= windowMs }
        return AttemptCounts(
            recent.sumOf { it.message.firstSends },
            recent.sumOf { it.message.repeats }
        )
    }

    /**
     * Removes peers whose last message is older than [RETENTION_MS], and their hosts. Returns these
     * messages.
     */
    fun removeExpired(nowMs: Long): List<GossipMessage> {
        previousStarts.removeAll { nowMs - it.receivedAtMs > RETENTION_MS }
        val gone = messageByInstance.values.filter { nowMs - it.receivedAtMs > RETENTION_MS }
        gone.forEach {
            messageByInstance.remove(it.message.instance)
            knownHosts.remove(it.message.host)
            binaryHosts.remove(it.message.host)
        }
        return gone.map { it.message }
    }

    private class ReceivedMessage(val message: GossipMessage, val receivedAtMs: Long) {
        fun isAlive(nowMs: Long) = nowMs - receivedAtMs <= ALIVE_MS
    }

    private companion object {
        /** Tolerates several lost datagrams in a row. */
        const val ALIVE_MS = 1_500L

        /** A machine that is cut off from the network returns within some seconds. */
        const val RETENTION_MS = 30_000L
    }
}
