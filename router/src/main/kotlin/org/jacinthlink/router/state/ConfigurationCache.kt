package org.jacinthlink.router.state

import org.jacinthlink.decision.fleet.ClientLimits
import org.jacinthlink.decision.fleet.FleetConfiguration
import org.jacinthlink.decision.fleet.RouteTable
import org.jacinthlink.decision.fleet.routeTable
import org.jacinthlink.platform.fleet.CONFIGURATION_KEY
import org.jacinthlink.platform.fleet.Decoded
import org.jacinthlink.platform.fleet.decodeConfiguration
import org.jacinthlink.platform.store.StoreChange
import org.jacinthlink.platform.store.StoreItem
import org.jacinthlink.router.DecisionLog

/** Holds the newest configuration that this process has read. An older one never replaces it. */
internal class ConfigurationCache(private val log: DecisionLog, private val onNew: () -> Unit) :
    PrefixListener<ByteArray> {
    /** Configuration in force, or null before the first one. */
    var current: FleetConfiguration? = null
        private set

    /** Routes of [current]. */
    var routes: RouteTable = routeTable(emptyList())
        private set

    /** Encoded form of [current], for peers that cannot read the store. */
    var bytes: ByteArray = ByteArray(0)
        private set

    /** Limits on what clients may send; defaults apply before the first configuration. */
    val limits: ClientLimits get() = current?.limits ?: DEFAULT_LIMITS

    /** Path of the health check of [service], or null if the service is unknown. */
    fun healthPath(service: String): String? = current?.services?.get(service)?.healthPath

    override fun decode(item: StoreItem): ByteArray? =
        item.value.takeIf { item.key == CONFIGURATION_KEY }

    override fun onSnapshot(values: List<ByteArray>) = values.forEach { read(it, "store") }

    override fun onChange(change: StoreChange) {
        if (change is StoreChange.Written) decode(change.item)?.let { read(it, "store") }
    }

    /** Applies [value] if it is readable and newer than [current]. */
    fun read(value: ByteArray, source: String) {
        when (val decoded = decodeConfiguration(value)) {
            is Decoded.Unreadable ->
                log.event("configuration_unreadable", "fault" to decoded.fault, "source" to source)
            is Decoded.Readable -> apply(decoded.value, value, source)
        }
    }

    private fun apply(next: FleetConfiguration, value: ByteArray, source: String) {
        val previous = current
        if (previous != null && next.version <= previous.version) return
        current = next
        routes = routeTable(next.routes)
        bytes = value
        log.event(
            "configuration_applied",
            "version" to next.version,
            "former" to previous?.version,
            "routes" to next.routes.size,
            "keys" to next.accessByKey.size,
            "source" to source
        )
        onNew()
    }

    private companion object {
        val DEFAULT_LIMITS = ClientLimits(16_384, 4_194_304, 3_000, 15_000)
    }
}
