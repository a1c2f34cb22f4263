package org.jacinthlink.entry.heads

import java.util.concurrent.ConcurrentHashMap
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.LoadReport
import org.jacinthlink.runtime.membership.KnownInstance

/** Latest load of each instance, and this entry's own requests at it. */
internal class LoadTable {
    private val loads = ConcurrentHashMap<InstanceId, InstanceLoad>()

    operator fun get(instance: InstanceId): InstanceLoad = loads[instance] ?: InstanceLoad()

    fun reported(instance: InstanceId, report: LoadReport, nowMs: Long) =
        update(instance) {
            it.copy(report = report, reportedAtMs = nowMs, sentSinceReport = 0)
        }

    fun sent(instance: InstanceId) =
        update(instance) {
            it.copy(inFlight = it.inFlight + 1, sentSinceReport = it.sentSinceReport + 1)
        }

    fun finished(instance: InstanceId) =
        update(instance) { it.copy(inFlight = (it.inFlight - 1).coerceAtLeast(0)) }

    /** Takes the loads of descriptions that are newer than the reports, and drops idle rest. */
    fun refresh(instances: Collection<KnownInstance>) {
        val known = instances.associateBy { it.description.instance }
        loads.entries.removeIf { it.key !in known && it.value.inFlight == 0 }
        known.forEach { (instance, it) ->
            val load = it.description.load
            if (load != null && it.describedAtMs > get(instance).reportedAtMs) {
                reported(instance, load, it.describedAtMs)
            }
        }
    }

    private fun update(instance: InstanceId, change: (InstanceLoad) -> InstanceLoad) {
        loads.compute(instance) { _, load -> change(load ?: InstanceLoad()) }
    }
}

/** Load of one instance. */
internal data class InstanceLoad(
    val report: LoadReport? = null,
    val reportedAtMs: Long = 0,
    val inFlight: Int = 0,
    val sentSinceReport: Int = 0
)
