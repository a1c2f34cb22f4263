package org.jacinthlink.standins

import org.jacinthlink.runtime.RunningProcess

/** A running plain-service stand-in, as an order desk or a ledger. */
interface PlainServiceStandIn : RunningProcess {
    /** Number of executions by collection and reference, as `bookings/r-17`. */
    val executions: Map<String, Int>

    /** Replaces all faults. */
    fun setFaults(faults: PlainServiceFaults)

    /** Drops all connections and refuses new ones for [downMs]. The records are kept. */
    fun crash(downMs: Long)
}

/** Starts a stand-in of a plain service. */
fun startPlainServiceStandIn(
    settings: PlainServiceSettings = PlainServiceSettings()
): PlainServiceStandIn = PlainServiceServer(settings)
