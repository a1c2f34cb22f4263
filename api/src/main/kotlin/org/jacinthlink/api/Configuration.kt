package org.jacinthlink.api

import kotlinx.serialization.Serializable

/**
 * Configuration document, set by operators, at one revision.
 *
 * @property revision Version of the document in the key-value service; 0 before the first change.
 * @property classes Classes of work, by name.
 * @property quarantine Fingerprints of requests that crashed backend servers twice, with the time
 *   at which each was added.
 * @property recentChangeIds Ids of the latest changes, newest last. A writer that received no
 *   response detects from them whether its change took effect.
 */
@Serializable
data class Configuration(
    val revision: Long = 0,
    val classes: Map<String, WorkClass> = emptyMap(),
    val quarantine: Map<String, Long> = emptyMap(),
    val recentChangeIds: List<String> = emptyList()
)
