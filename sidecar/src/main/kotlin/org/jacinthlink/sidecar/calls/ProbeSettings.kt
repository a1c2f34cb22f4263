package org.jacinthlink.sidecar.calls

import kotlinx.serialization.Serializable

/**
 * Settings of the probes of a plain service.
 *
 * @property path Path that is read; a status under 500 is a success. Without it a TCP connection is
 *   opened.
 * @property failures Probes in a row that fail until the sidecar reports that it is not ready.
 */
@Serializable
data class ProbeSettings(
    val path: String? = null,
    val intervalMs: Long = 500,
    val timeoutMs: Long = 1_000,
    val failures: Int = 2
)
