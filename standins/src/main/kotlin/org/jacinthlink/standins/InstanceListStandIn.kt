package org.jacinthlink.standins

import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.ListedInstance
import org.jacinthlink.runtime.RunningProcess

/** A running instance-list stand-in. */
interface InstanceListStandIn : RunningProcess {
    /** Adds [instance], or replaces the one with its id. */
    fun add(instance: ListedInstance)

    /** Removes [instance]. */
    fun remove(instance: InstanceId)

    /** Marks [instance] as leaving. */
    fun markLeaving(instance: InstanceId)

    /** Sets how old the list is that readers see. */
    fun setLag(lagMs: Long)

    /** Fails all reads as [outage] says. */
    fun setOutage(outage: Outage)
}

/** Starts a stand-in of the platform's instance list. */
fun startInstanceListStandIn(
    settings: InstanceListSettings = InstanceListSettings()
): InstanceListStandIn = InstanceListServer(settings)
