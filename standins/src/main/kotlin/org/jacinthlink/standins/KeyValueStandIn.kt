package org.jacinthlink.standins

import org.jacinthlink.runtime.RunningProcess

/** A running key-value stand-in. */
interface KeyValueStandIn : RunningProcess {
    /** Faults in force and calls so far by kind. */
    val status: KeyValueStatus

    /** Replaces all faults. */
    fun setFaults(faults: KeyValueFaults)

    /** Drops all connections and refuses new ones for [downMs]. The values are kept. */
    fun crash(downMs: Long)
}

/** Starts a stand-in that speaks the JSON gateway of etcd v3. */
fun startKeyValueStandIn(settings: KeyValueSettings = KeyValueSettings()): KeyValueStandIn =
    KeyValueServer(settings)
