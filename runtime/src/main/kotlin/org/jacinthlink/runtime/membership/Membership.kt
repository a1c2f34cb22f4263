package org.jacinthlink.runtime.membership

import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.api.InstanceId

/** Instances of the system as this process knows them. */
interface Membership {
    /** All instances that are neither leaving nor known to be unreachable. */
    fun instances(): List<KnownInstance>

    /**
     * Instances that are excluded only because they could not be reached.
     *
     * One of them may be back without being described yet, so it is worth a try if nothing else is
     * left.
     */
    fun unreachable(): List<KnownInstance>

    /** All other listed instances, whatever their state. */
    fun members(): List<KnownMember>

    /** True once the list was read and each instance on it was described or asked in vain. */
    val isComplete: Boolean

    /** Excludes [instance] at once, on this process' own evidence, until it answers again. */
    fun reportUnreachable(instance: InstanceId)

    /** Excludes [instance] from new work at once, because one of its answers said so. */
    fun reportDraining(instance: InstanceId)

    /** Has [instance], which failed another process, describe itself soon. */
    fun probe(instance: InstanceId)

    /** Calls [listener] after each change. */
    fun addListener(listener: () -> Unit)
}

/** An instance and the time at which it last described itself. */
data class KnownInstance(val description: InstanceDescription, val describedAtMs: Long)
