package org.jacinthlink.decision.claims

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.Base64
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Success

/** Encodes [slice] as a value of the key-value service: Base64 of deflated JSON. */
fun encodeSlice(slice: ClaimSlice): String {
    val header = "{\"g\":${slice.generation},\"o\":${slice.openedAtMs},\"s\":${slice.isSealed},"
    val json =
        slice.bucket.claims.values.joinToString(",", "$header\"claims\":[", "]}") { it.json }
    val deflated = ByteArrayOutputStream()
    DeflaterOutputStream(deflated).use { it.write(json.encodeToByteArray()) }
    return Base64.getEncoder().encodeToString(deflated.toByteArray())
}

/**
 * Decodes a value of the key-value service. An unreadable value is a failure and never an empty
 * slice, because an empty slice would allow its calls to be executed again.
 *
 * Plain JSON is the format of earlier versions, which stored a bucket as one value without slices.
 */
fun decodeSlice(value: String): Outcome<ClaimSlice> =
    try {
        val json = if (value.startsWith("{")) value else inflate(value)
        val stored = ProtocolJson.decodeFromString(StoredSlice.serializer(), json)
        val bucket = ClaimBucket.of(stored.claims)
        Success(ClaimSlice(stored.generation, stored.openedAtMs, stored.isSealed, bucket))
    } catch (e: SerializationException) {
        unreadable(e)
    } catch (e: IllegalArgumentException) {
        unreadable(e)
    } catch (e: IOException) {
        unreadable(e)
    }

private fun inflate(value: String): String =
    InflaterInputStream(Base64.getDecoder().decode(value).inputStream())
        .use { it.readBytes() }
        .decodeToString()

private fun unreadable(e: Exception) =
    Failure(ResultCode.CLAIM_UNAVAILABLE, "unreadable claims: ${e.message?.take(200)}")

@Serializable
private data class StoredSlice(
    @SerialName("g") val generation: Long = 0,
    @SerialName("o") val openedAtMs: Long = 0,
    @SerialName("s") val isSealed: Boolean = false,
    val claims: List<Claim>
)
