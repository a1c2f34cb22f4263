package org.jacinthlink.decision.claims

import java.util.zip.CRC32
import org.jacinthlink.api.WorkspaceId

/** Key of a claim. Two workspaces may use the same idempotency key for different calls. */
fun claimKey(workspace: WorkspaceId, idempotencyKey: String): String =
    "${workspace.value.length}:${workspace.value}:$idempotencyKey"

/** Bucket of [claimKey]. Entries and sidecars must agree on [bucketCount]. */
fun claimBucketOf(claimKey: String, bucketCount: Int): Int {
    val crc = CRC32().apply { update(claimKey.encodeToByteArray()) }
    return (crc.value % bucketCount).toInt()
}
