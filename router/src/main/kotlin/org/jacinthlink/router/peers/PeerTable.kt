package org.jacinthlink.router.peers

import org.jacinthlink.decision.retry.SendCounts

/** Latest gossip message of each peer, and the hosts that receive messages. */
internal class PeerTable(private val ownInstance: String) {
    private val newsByInstance = LinkedHashMap<String, HeardNews>()
    private val formerStarts = mutableListOf<HeardNews>()
    private val knownHosts = LinkedHashSet<String>()

    /** Hosts to send messages to. */
    val hosts: List<String> get() = knownHosts.toList()

    /** Records [news], received at [nowMs]. Returns true if its sender was not alive until then. */
    fun hear(news: PeerNews, nowMs: Long): Boolean {
        if (news.instance == ownInstance) return false
        val last = newsByInstance[news.instance]
        val isNew = last?.isAlive(nowMs) != true
        if (last != null && last.news.startedAtMs != news.startedAtMs) formerStarts.add(last)
        newsByInstance[news.instance] = HeardNews(news, nowMs)
        knownHosts.add(news.host)
        return isNew
    }

    /** Adds a host that may run a router. */
    fun addHost(host: String) {
        knownHosts.add(host)
    }

    /** Latest messages of the peers that are alive at [nowMs]. */
    fun alive(nowMs: Long): List<PeerNews> = heardWithin(nowMs, ALIVE_MS)

    /** Latest messages that are at most [ageMs] old. */
    fun heardWithin(nowMs: Long, ageMs: Long): List<PeerNews> =
        newsByInstance.values.filter { nowMs - it.heardAtMs <= ageMs }.map { it.news }

    /** Number of peers that may be running, including those that have stopped sending messages. */
    val size: Int get() = newsByInstance.size

    /**
     * Attempts of requests that the peers have reported within [windowMs].
     *
     * Attempts that a peer made before it stopped sending messages, or before it was restarted,
     * still count.
     */
    fun sends(nowMs: Long, windowMs: Long): SendCounts {
        val told =
            (newsByInstance.values + formerStarts).filter { nowMs - it.heardAtMs <= windowMs }
        return SendCounts(told.sumOf { it.news.firstSends }, told.sumOf { it.news.repeats })
    }

    /**
     * Removes peers whose last message is older than [FORGET_MS], and their hosts. Returns these
     * messages.
     */
    fun forget(nowMs: Long): List<PeerNews> {
        formerStarts.removeAll { nowMs - it.heardAtMs > FORGET_MS }
        val gone = newsByInstance.values.filter { nowMs - it.heardAtMs > FORGET_MS }
        gone.forEach {
            newsByInstance.remove(it.news.instance)
            knownHosts.remove(it.news.host)
        }
        return gone.map { it.news }
    }

    private class HeardNews(val news: PeerNews, val heardAtMs: Long) {
        fun isAlive(nowMs: Long) = nowMs - heardAtMs <= ALIVE_MS
    }

    private companion object {
        /** A peer is considered alive although several datagrams in a row are lost. */
        const val ALIVE_MS = 1_500L

        /** A machine that is cut off from the network returns within some seconds. */
        const val FORGET_MS = 30_000L
    }
}
