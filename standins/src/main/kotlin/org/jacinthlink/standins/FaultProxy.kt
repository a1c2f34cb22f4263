package org.jacinthlink.standins

import org.jacinthlink.runtime.RunningProcess

/** A running TCP proxy that injects faults. Its `address` is that of the control interface. */
interface FaultProxy : RunningProcess {
    /** State of all listeners. */
    val status: List<ProxyListenerStatus>

    /** Host and port on which [listener] takes connections. */
    fun addressOf(listener: String): String

    /** Adds a listener and returns its host and port. */
    fun addListener(settings: ProxyListenerSettings): String

    /** Replaces the lasting faults of [listener]. */
    fun setFaults(listener: String, faults: ProxyFaults)

    /** Resets all present connections of [listener]. */
    fun cutAll(listener: String)

    /** Lets no byte and no close pass on the present connections of [listener], for good. */
    fun silenceExisting(listener: String)
}

/** Starts a fault proxy. */
fun startFaultProxy(settings: FaultProxySettings = FaultProxySettings()): FaultProxy =
    FaultProxyServer(settings)
