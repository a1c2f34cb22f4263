package org.jacinthlink.runtime.membership

import kotlin.random.Random
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.ListedInstance

/** Members by listed id, with the rules of exclusion and the order of descriptions. */
internal class MembershipTable(
    private val interest: (ListedInstance) -> Boolean,
    rates: DescribeRates,
    private val random: Random
) {
    private val steadyBucket = TokenBucket(rates.steadyPerSecond)
    private val newBucket = TokenBucket(rates.newPerSecond)
    private val members = LinkedHashMap<InstanceId, Member>()

    private var hasList = false

    @Volatile
    private var available: List<KnownInstance> = emptyList()

    /** Instances that new work may go to. */
    fun available(): List<KnownInstance> = available

    /** Described instances that would be available if they could be reached. */
    @Synchronized
    fun unreachable(): List<KnownInstance> =
        members.values.filter { it.unreachable && it.copy(unreachable = false).isAvailable }
            .mapNotNull { it.known() }

    /** True once a list was taken and each instance on it was described or asked in vain. */
    @Synchronized
    fun isComplete(): Boolean =
        hasList &&
            members.values.none { it.isNew && !it.listed.leaving && interest(it.listed) }

    /** All listed instances, whatever their state. */
    @Synchronized
    fun listed(): List<ListedInstance> = members.values.map { it.listed }

    /** All listed instances with their states. */
    @Synchronized
    fun members(): List<KnownMember> =
        members.values.map { KnownMember(it.listed, it.known(), it.state) }

    /** Listed instances that are worth a call: neither leaving nor unreachable. */
    @Synchronized
    fun reachable(): List<ListedInstance> =
        members.values.filter { !it.listed.leaving && !it.unreachable }.map { it.listed }

    /** Replaces the list. Returns true if the available instances changed. */
    @Synchronized
    fun applyList(list: List<ListedInstance>): Boolean {
        val next = list.associate { it.instance to relisted(it) }
        val before = members.values.mapNotNull { it.shown() }
        members.clear()
        members += next
        hasList = true
        publish()
        return before != members.values.mapNotNull { it.shown() }
    }

    private fun relisted(listed: ListedInstance): Member {
        val known = members[listed.instance]?.takeIf { it.listed.address == listed.address }
        val member = (known ?: Member(listed)).copy(listed = listed)
        return if (interest(listed)) member else member.copy(description = null)
    }

    /** Picks the members to describe now, the longest due first, and marks them. */
    @Synchronized
    fun takeDue(nowMs: Long): List<ListedInstance> {
        val due =
            members.values
                .filter { it.nextDescribeAtMs <= nowMs && !it.describing && !it.listed.leaving }
                .filter { interest(it.listed) }
                .sortedBy { it.nextDescribeAtMs }
        val (new, old) = due.partition { it.isNew }
        val taken =
            new.take(newBucket.take(new.size, nowMs)) +
                old.take(steadyBucket.take(old.size, nowMs))
        taken.forEach { members[it.listed.instance] = it.copy(describing = true) }
        return taken.map { it.listed }
    }

    /** Takes the description of [listed], asked for at [askedAtMs]. */
    @Synchronized
    fun described(
        listed: InstanceId,
        answer: InstanceDescription,
        askedAtMs: Long,
        nowMs: Long
    ): Boolean =
        change(listed) { member ->
            if (isListedAs(listed, answer.instance)) {
                member.described(answer, askedAtMs, nowMs, jittered(REFRESH_MS))
            } else {
                // Another process took over the address, so the listed one is gone.
                member.describeFailed(true, nowMs, jittered(probeDelayMs(member.failures)))
            }
        }

    /** Notes that [listed] did not describe itself. */
    @Synchronized
    fun describeFailed(listed: InstanceId, surelyDown: Boolean, nowMs: Long): Boolean =
        change(listed) {
            it.describeFailed(surelyDown, nowMs, jittered(probeDelayMs(it.failures)))
        }

    /** Takes a description that [answer]'s instance sent by itself. */
    @Synchronized
    fun announced(answer: InstanceDescription, nowMs: Long): Boolean {
        val member = find(answer.instance)?.takeIf { interest(it.listed) } ?: return false
        return change(member.listed.instance) {
            val announced = it.described(answer, nowMs, nowMs, jittered(REFRESH_MS))
            announced.copy(describing = it.describing, evidenceAtMs = nowMs)
        }
    }

    /** Excludes [instance] until it answers. */
    @Synchronized
    fun reportUnreachable(instance: InstanceId, nowMs: Long): Boolean =
        changeReported(instance) { it.reportedUnreachable(nowMs) }

    /** Excludes [instance] until it says that it takes work. */
    @Synchronized
    fun reportDraining(instance: InstanceId, nowMs: Long): Boolean =
        changeReported(instance) { it.reportedDraining(nowMs) }

    /** Makes the next description of [instance] due, unless it is excluded already. */
    @Synchronized
    fun probe(instance: InstanceId, nowMs: Long) {
        val member = find(instance)?.takeIf { it.isPresent(instance) } ?: return
        if (!member.unreachable) {
            members[member.listed.instance] =
                member.copy(nextDescribeAtMs = minOf(member.nextDescribeAtMs, nowMs))
        }
    }

    private fun changeReported(instance: InstanceId, change: (Member) -> Member): Boolean {
        val member = find(instance)?.takeIf { it.isPresent(instance) } ?: return false
        return change(member.listed.instance, change)
    }

    private fun find(instance: InstanceId): Member? =
        members[instance]
            ?: members[InstanceId(instance.value.substringBeforeLast(INCARNATION_SEPARATOR))]

    private fun change(listed: InstanceId, change: (Member) -> Member): Boolean {
        val before = members[listed] ?: return false
        val after = change(before)
        members[listed] = after
        publish()
        // Comparing this member only keeps the cost of a description low among hundreds.
        return before.shown() != after.shown()
    }

    private fun publish() {
        available = members.values.filter { it.isAvailable }.map { it.known()!! }
    }

    private fun jittered(delayMs: Long): Long = (delayMs * random.nextDouble(0.8, 1.2)).toLong()

    private companion object {
        const val REFRESH_MS = 2_000L
    }
}
