package org.jacinthlink.entry.chat

import kotlinx.serialization.Serializable

/** Tells another entry of crashes of backend servers that ran requests with [fingerprints]. */
@Serializable
internal data class CrashNotice(val fingerprints: List<String>)
