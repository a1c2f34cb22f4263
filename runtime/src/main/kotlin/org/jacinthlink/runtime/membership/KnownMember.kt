package org.jacinthlink.runtime.membership

import kotlinx.serialization.Serializable
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.ListedInstance

/** A listed instance with its state. [known] is null if it never described itself. */
data class KnownMember(
    val listed: ListedInstance,
    val known: KnownInstance?,
    val state: MemberState
) {
    /** Id that the instance gives itself, or its listed id. */
    val instance: InstanceId get() = known?.description?.instance ?: listed.instance
}

/** State of a listed instance as one process sees it. */
@Serializable
enum class MemberState {
    /** The instance takes work. */
    AVAILABLE,

    /** The instance runs, but its backend server cannot be reached. */
    NOT_READY,

    /** The instance or the instance list says that it is stopping. */
    DRAINING,

    /** The instance does not answer. */
    UNREACHABLE,

    /** The instance was not asked yet. */
    UNKNOWN
}
