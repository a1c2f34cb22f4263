package org.jacinthlink.decision.claims

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Success

/** Encodes [bucket] as a value of the key-value service. */
fun encodeBucket(bucket: ClaimBucket): String =
    bucket.claims.values.joinToString(",", "{\"claims\":[", "]}") { it.json }

/** Decodes a value of the key-value service. An unreadable value is never taken as empty. */
fun decodeBucket(value: String): Outcome<ClaimBucket> =
    try {
        Success(
            ClaimBucket.of(
                ProtocolJson.decodeFromString(StoredBucket.serializer(), value).claims
            )
        )
    } catch (e: SerializationException) {
        Failure(ResultCode.CLAIM_UNAVAILABLE, "unreadable claims: ${e.message?.take(200)}")
    }

@Serializable
private data class StoredBucket(val claims: List<Claim>)
