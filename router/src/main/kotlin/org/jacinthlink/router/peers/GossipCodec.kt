@file:OptIn(ExperimentalSerializationApi::class)

package org.jacinthlink.router.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.decodeOrNull

/**
 * Encodes and decodes gossip messages, as Protocol Buffers or as JSON.
 *
 * The binary format takes less than half of the bytes. JSON is for routers of earlier versions, and
 * for those whose version is not known yet.
 */
internal object GossipCodec {
    /** Encodes [message] for a receiver that reads the binary format if [isBinary]. */
    fun encode(message: GossipMessage, isBinary: Boolean): ByteArray =
        if (isBinary) {
            ProtoBuf.encodeToByteArray(message)
        } else {
            ProtocolJson.encodeToString(GossipMessage.serializer(), message).toByteArray()
        }

    /** Decodes a message of either format; null if [bytes] are malformed or out of range. */
    fun decode(bytes: ByteArray): GossipMessage? =
        if (bytes.firstOrNull() == JSON_START) {
            ProtocolJson.decodeOrNull(GossipMessage.serializer(), bytes.toString(Charsets.UTF_8))
        } else {
            decodeBinary(bytes)
        }?.takeIf { it.isValid() }

    private fun decodeBinary(bytes: ByteArray): GossipMessage? =
        try {
            ProtoBuf.decodeFromByteArray<GossipMessage>(bytes)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        } catch (_: IndexOutOfBoundsException) {
            null
        }

    /** A message in Protocol Buffers does not start with this byte. */
    private const val JSON_START = '{'.code.toByte()
}
