package org.jacinthlink.runtime.daemon

import kotlinx.serialization.Serializable
import org.jacinthlink.api.SchedulingPolicy
import org.jacinthlink.runtime.settings.Validation

/**
 * Settings that all daemons share.
 *
 * @property name Name of the process; its instance id is the name and a part that is new with each
 *   start.
 * @property port Port to listen on; 0 takes a free one.
 * @property advertisedAddress Host and port by which peers reach the process, if they differ from
 *   [host] and [port].
 * @property peerToken Secret that all processes of the system share.
 * @property seeds Addresses of peers that are asked while the platform is down at the start.
 * @property drainTimeoutMs Time that present work has to finish in a graceful stop.
 * @property schedulingPolicy For experiments only; the same in all processes of a system.
 */
@Serializable
data class DaemonSettings(
    val name: String,
    val host: String = "127.0.0.1",
    val port: Int,
    val advertisedAddress: String? = null,
    val availabilityZone: String,
    val peerToken: String,
    val seeds: List<String> = emptyList(),
    val drainTimeoutMs: Long = 30_000,
    val eventCapacity: Int = 2_000,
    val schedulingPolicy: SchedulingPolicy = SchedulingPolicy.Targets
) {
    override fun toString() = "DaemonSettings(name=$name, host=$host, port=$port)"
}

/** Checks [settings], which are found at [path] of the document. */
fun Validation.checkDaemon(path: String, settings: DaemonSettings) {
    val prefix = if (path.isEmpty()) "" else "$path."
    check("${prefix}name", NAME.matches(settings.name)) {
        "'${settings.name}' may hold letters, digits, '.', '_' and '-' only, 64 at most"
    }
    inRange("${prefix}port", settings.port, 0..65_535)
    notBlank("${prefix}host", settings.host)
    notBlank("${prefix}availabilityZone", settings.availabilityZone)
    check("${prefix}peerToken", settings.peerToken.length >= MIN_TOKEN_LENGTH) {
        "must have at least $MIN_TOKEN_LENGTH characters, has ${settings.peerToken.length}"
    }
    check("${prefix}peerToken", settings.peerToken.all { it in '!'..'~' }) {
        "must hold printable ASCII characters without spaces only, as it is sent in a header"
    }
    settings.advertisedAddress?.let { address("${prefix}advertisedAddress", it) }
    settings.seeds.forEachIndexed { index, seed -> address("${prefix}seeds[$index]", seed) }
    inRange("${prefix}drainTimeoutMs", settings.drainTimeoutMs, 0L..3_600_000L)
    inRange("${prefix}eventCapacity", settings.eventCapacity, 1..100_000)
}

private val NAME = Regex("[A-Za-z0-9._-]{1,64}")
private const val MIN_TOKEN_LENGTH = 16
