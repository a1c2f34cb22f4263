package org.jacinthlink.decision.claims

import java.util.zip.CRC32
import org.jacinthlink.api.WorkspaceId

/**
 * Returns the key of a claim. It includes [workspace], because two workspaces may use the same
 * idempotency key for different calls.
 */
fun claimKey(workspace: WorkspaceId, idempotencyKey: String): String =
    "${workspace.value.length}:${workspace.value}:$idempotencyKey"

/** Returns the bucket of [claimKey]. All processes must use the same [bucketCount]. */
fun claimBucketOf(claimKey: String, bucketCount: Int): Int {
    val crc = CRC32().apply { update(claimKey.encodeToByteArray()) }
    return (crc.value % bucketCount).toInt()
}
