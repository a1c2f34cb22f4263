package org.jacinthlink.decision.configuration

/** Limits of the configuration document. */
object ConfigurationRules {
    const val MAX_CLASSES = 64
    const val MAX_TARGET_MS = 86_400_000L
    const val MAX_WORTH = 10_000
    const val MAX_RECENT_CHANGE_IDS = 64

    /** Keeps the document, which every process polls, below about 100 KB. */
    const val MAX_QUARANTINE = 512
    const val MAX_FINGERPRINT_LENGTH = 128
    const val MAX_CHANGE_ID_LENGTH = 64

    /** Names appear in paths, headers and metrics. */
    val NAME_PATTERN = Regex("[a-z][a-z0-9-]{0,62}")
}
