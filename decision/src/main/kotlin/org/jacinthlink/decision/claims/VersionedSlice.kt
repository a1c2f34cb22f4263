package org.jacinthlink.decision.claims

/** Content of a slot at [version]; [slice] is null and [version] is 0 if the slot is absent. */
data class VersionedSlice(val slice: ClaimSlice?, val version: Long)
