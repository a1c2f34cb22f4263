package org.jacinthlink.api

/** Change of the configuration document. [changeId] is unique to the change. */
sealed interface ConfigurationChange {
    val changeId: String

    /** Creates or replaces a class. */
    data class PutClass(override val changeId: String, val workClass: WorkClass) :
        ConfigurationChange

    /** Removes a class. */
    data class RemoveClass(override val changeId: String, val name: String) : ConfigurationChange

    /** Refuses requests with [fingerprint] from now on. */
    data class Quarantine(
        override val changeId: String,
        val fingerprint: String,
        val addedAtMs: Long
    ) : ConfigurationChange

    /** Accepts requests with [fingerprint] again. */
    data class Release(override val changeId: String, val fingerprint: String) :
        ConfigurationChange
}
