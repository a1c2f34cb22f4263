package org.jacinthlink.runtime.configuration

import org.jacinthlink.api.ConfigurationChange
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.Outcome

/** Changes the configuration of the whole system. */
interface ConfigurationEditor {
    /**
     * Writes [change] to the key-value service and spreads it.
     *
     * @param expectedRevision Revision on which the change must build; null for any.
     */
    fun apply(change: ConfigurationChange, expectedRevision: Long? = null): Outcome<AppliedChange>
}

/**
 * A change that was accepted at [revision].
 *
 * @property inForce Revision found on each instance that answered.
 * @property missing Instances that did not answer.
 */
data class AppliedChange(
    val revision: Long,
    val inForce: Map<InstanceId, Long>,
    val missing: List<InstanceId>
)
