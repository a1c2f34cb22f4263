package org.jacinthlink.decision.claims

/** A slice as it was in the key-value service at [version]; null and version 0 if absent. */
data class VersionedSlice(val slice: ClaimSlice?, val version: Long)
