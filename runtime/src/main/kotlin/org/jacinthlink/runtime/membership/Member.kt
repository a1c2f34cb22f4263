package org.jacinthlink.runtime.membership

import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.ListedInstance

/**
 * What this process knows of one listed instance.
 *
 * @property evidenceAtMs Time of the latest report against the instance; descriptions asked for
 *   before it do not lift the exclusion.
 * @property failures Failed descriptions in a row.
 */
internal data class Member(
    val listed: ListedInstance,
    val description: InstanceDescription? = null,
    val describedAtMs: Long = 0,
    val draining: Boolean = false,
    val unreachable: Boolean = false,
    val evidenceAtMs: Long = 0,
    val failures: Int = 0,
    val nextDescribeAtMs: Long = 0,
    val describing: Boolean = false
) {
    /** True if new work may go to the instance. */
    val isAvailable: Boolean
        get() = !listed.leaving && !unreachable && !draining && description?.draining == false

    /** False if [instance] is an earlier process of this name, whose answer came late. */
    fun isPresent(instance: InstanceId): Boolean =
        description == null || instance == description.instance || instance == listed.instance

    /** State as operators see it. */
    val state: MemberState
        get() =
            when {
                listed.leaving || draining || description?.draining == true -> MemberState.DRAINING
                unreachable -> MemberState.UNREACHABLE
                description == null -> MemberState.UNKNOWN
                !description.ready -> MemberState.NOT_READY
                else -> MemberState.AVAILABLE
            }

    /** True until the first description arrives or fails. */
    val isNew: Boolean get() = description == null && failures == 0
}

/** The instance as [Membership] shows it; null without a description. */
internal fun Member.known(): KnownInstance? = description?.let { KnownInstance(it, describedAtMs) }

/**
 * What listeners are told of; null while no work may go to the instance.
 *
 * Load changes all the time and is read when it is needed.
 */
internal fun Member.shown(): InstanceDescription? =
    description?.takeIf { isAvailable }?.copy(load = null, configurationRevision = 0)

/** Takes a description that was asked for at [askedAtMs]. */
internal fun Member.described(
    answer: InstanceDescription,
    askedAtMs: Long,
    nowMs: Long,
    refreshMs: Long
): Member {
    val restarted = description != null && description.instance != answer.instance
    val newer = askedAtMs > evidenceAtMs || restarted
    return copy(
        // The listed address is the one by which the instance can be reached from here.
        description = answer.copy(address = listed.address),
        describedAtMs = nowMs,
        draining = if (newer) answer.draining else draining || answer.draining,
        unreachable = unreachable && !newer,
        failures = 0,
        nextDescribeAtMs = nowMs + refreshMs,
        describing = false
    )
}

/**
 * Notes a description that failed.
 *
 * @param surelyDown True if the connection was refused; silence counts only when it is repeated,
 *   because a single slow answer is common.
 */
internal fun Member.describeFailed(surelyDown: Boolean, nowMs: Long, probeMs: Long): Member {
    val down = unreachable || surelyDown || failures >= 1
    return copy(
        unreachable = down,
        evidenceAtMs = if (down) nowMs else evidenceAtMs,
        failures = failures + 1,
        nextDescribeAtMs = nowMs + (if (down) probeMs else SECOND_TRY_MS),
        describing = false
    )
}

/** Excludes the instance on the evidence of a failed call. */
internal fun Member.reportedUnreachable(nowMs: Long): Member =
    copy(unreachable = true, evidenceAtMs = nowMs, nextDescribeAtMs = nowMs + FIRST_PROBE_MS)

/** Excludes the instance because it said that it is draining. */
internal fun Member.reportedDraining(nowMs: Long): Member =
    copy(draining = true, evidenceAtMs = nowMs)

/** Delay of the next probe after [failures] failed ones. */
internal fun probeDelayMs(failures: Int): Long =
    (FIRST_PROBE_MS shl failures.coerceIn(0, MAX_DOUBLINGS)).coerceAtMost(MAX_PROBE_MS)

private const val SECOND_TRY_MS = 100L
private const val FIRST_PROBE_MS = 500L
private const val MAX_DOUBLINGS = 8

// Bounds both the load by probes of a failed zone and the time until a return is noticed.
private const val MAX_PROBE_MS = 15_000L
