package org.jacinthlink.router.peers

import org.jacinthlink.decision.retry.AttemptCounts

/** The routers that have been heard of lately. */
internal class PeerTable(private val ownInstance: String) {
    private val newsByInstance = LinkedHashMap<String, HeardNews>()
    private val formerStarts = mutableListOf<HeardNews>()
    private val knownHosts = LinkedHashSet<String>()

    /** Hosts to send news to. */
    val hosts: List<String> get() = knownHosts.toList()

    /** Takes [news] that came at [nowMs]. Returns true if its sender was not heard lately. */
    fun hear(news: GossipMessage, nowMs: Long): Boolean {
        if (news.instance == ownInstance) return false
        val last = newsByInstance[news.instance]
        val isNew = last?.isAlive(nowMs) != true
        if (last != null && last.news.startedAtMs != news.startedAtMs) formerStarts.add(last)
        newsByInstance[news.instance] = HeardNews(news, nowMs)
        knownHosts.add(news.host)
        return isNew
    }

    /** Adds a host that may be a router. */
    fun addHost(host: String) {
        knownHosts.add(host)
    }

    /** News of the peers that are alive at [nowMs]. */
    fun alive(nowMs: Long): List<GossipMessage> = heardWithin(nowMs, ALIVE_MS)

    /** News that are no older than [ageMs]. */
    fun heardWithin(nowMs: Long, ageMs: Long): List<GossipMessage> =
        newsByInstance.values.filter { nowMs - it.heardAtMs <= ageMs }.map { it.news }

    /** Number of peers that may be at work, heard or not. */
    val size: Int get() = newsByInstance.size

    /**
     * Sends that the peers have told of within [windowMs].
     *
     * What a peer sent before it fell silent, or before it was started anew, still counts.
     */
    fun sends(nowMs: Long, windowMs: Long): AttemptCounts {
        val told =
            (newsByInstance.values + formerStarts).filter { nowMs - it.heardAtMs <= windowMs }
        return AttemptCounts(told.sumOf { it.news.firstSends }, told.sumOf { it.news.repeats })
    }

    /** Drops peers that have been silent for long, and their hosts. */
    fun forget(nowMs: Long): List<GossipMessage> {
        formerStarts.removeAll { nowMs - it.heardAtMs > FORGET_MS }
        val gone = newsByInstance.values.filter { nowMs - it.heardAtMs > FORGET_MS }
        gone.forEach {
            newsByInstance.remove(it.news.instance)
            knownHosts.remove(it.news.host)
        }
        return gone.map { it.news }
    }

    private class HeardNews(val news: GossipMessage, val heardAtMs: Long) {
        fun isAlive(nowMs: Long) = nowMs - heardAtMs <= ALIVE_MS
    }

    private companion object {
        /** Several lost datagrams in a row. */
        const val ALIVE_MS = 1_500L

        /** A machine that is cut off comes back within some seconds. */
        const val FORGET_MS = 30_000L
    }
}
