package org.jacinthlink.decision.claims

/** A bucket as it was in the key-value service at [version]; version 0 stands for absent. */
data class VersionedBucket(val bucket: ClaimBucket, val version: Long)
