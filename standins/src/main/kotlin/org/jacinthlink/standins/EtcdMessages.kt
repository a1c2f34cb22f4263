@file:OptIn(ExperimentalSerializationApi::class)

package org.jacinthlink.standins

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNames

/** As the gateway of etcd does, answers omit fields that have their default value. */
internal val EtcdJson = Json {
    ignoreUnknownKeys = true
    isLenient = true
}

// 64-bit integers are strings in JSON. Requests may name fields in either case.

@Serializable
internal data class EtcdHeader(
    @SerialName("cluster_id") val clusterId: String,
    @SerialName("member_id") val memberId: String,
    val revision: String,
    @SerialName("raft_term") val raftTerm: String
)

@Serializable
internal data class EtcdKeyValue(
    val key: String,
    @SerialName("create_revision") val createRevision: String,
    @SerialName("mod_revision") val modRevision: String,
    val version: String,
    val value: String = ""
)

@Serializable
internal data class EtcdRangeRequest(
    val key: String,
    @JsonNames("rangeEnd") @SerialName("range_end") val rangeEnd: String = ""
)

@Serializable
internal data class EtcdRangeResponse(
    val header: EtcdHeader,
    val kvs: List<EtcdKeyValue> = emptyList(),
    val count: String = "0"
)

@Serializable
internal data class EtcdPutRequest(val key: String, val value: String = "")

@Serializable
internal data class EtcdPutResponse(val header: EtcdHeader)

@Serializable
internal data class EtcdCompare(
    val key: String,
    val target: String = "VERSION",
    val result: String = "EQUAL",
    val version: String = "0"
)

@Serializable
internal data class EtcdRequestOp(
    @JsonNames("requestPut") @SerialName("request_put") val requestPut: EtcdPutRequest? = null,
    @JsonNames("requestRange")
    @SerialName("request_range")
    val requestRange: EtcdRangeRequest? = null
)

@Serializable
internal data class EtcdTxnRequest(
    val compare: List<EtcdCompare> = emptyList(),
    val success: List<EtcdRequestOp> = emptyList(),
    val failure: List<EtcdRequestOp> = emptyList()
)

@Serializable
internal data class EtcdResponseOp(
    @SerialName("response_put") val responsePut: EtcdPutResponse? = null,
    @SerialName("response_range") val responseRange: EtcdRangeResponse? = null
)

@Serializable
internal data class EtcdTxnResponse(
    val header: EtcdHeader,
    val succeeded: Boolean = false,
    val responses: List<EtcdResponseOp> = emptyList()
)

@Serializable
internal data class EtcdLeaseRequest(
    @SerialName("TTL") val ttlSeconds: String = "0",
    @SerialName("ID") val id: String = "0"
)

@Serializable
internal data class EtcdLeaseResponse(
    val header: EtcdHeader,
    @SerialName("ID") val id: String = "0",
    @SerialName("TTL") val ttlSeconds: String = "0"
)

@Serializable
internal data class EtcdKeepAliveResponse(val result: EtcdLeaseResponse)

@Serializable
internal data class EtcdError(val error: String, val code: Int, val message: String = error)
