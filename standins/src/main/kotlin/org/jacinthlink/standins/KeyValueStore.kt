package org.jacinthlink.standins

import java.util.Base64

/** Values and leases of the key-value stand-in. Keys and values stay in base64. */
internal class KeyValueStore(private val maxValueBytes: Int) {
    private val values = sortedMapOf<String, StoredValue>()
    private val leaseEndsMs = mutableMapOf<Long, Lease>()
    private var revision = 1L
    private var lastLeaseId = 0L

    @Synchronized
    fun range(request: EtcdRangeRequest): EtcdRangeResponse {
        val first = decoded(request.key)
        val end = decoded(request.rangeEnd)
        val found =
            if (end.isEmpty()) {
                values.filterKeys { it == first }
            } else {
                values.filterKeys { it >= first && (it < end || end == ALL_KEYS) }
            }
        return EtcdRangeResponse(
            header(),
            found.map { (key, stored) -> stored.toKeyValue(encoded(key)) },
            found.size.toString()
        )
    }

    @Synchronized
    fun put(request: EtcdPutRequest): EtcdPutResponse {
        requireSize(request)
        revision++
        write(request)
        return EtcdPutResponse(header())
    }

    @Synchronized
    fun txn(request: EtcdTxnRequest): EtcdTxnResponse {
        val succeeded = request.compare.all(::holds)
        val operations = if (succeeded) request.success else request.failure
        operations.mapNotNull { it.requestPut }.forEach(::requireSize)
        if (operations.any { it.requestPut != null }) revision++
        return EtcdTxnResponse(header(), succeeded, operations.map(::run))
    }

    @Synchronized
    fun grantLease(request: EtcdLeaseRequest, nowMs: Long): EtcdLeaseResponse {
        val ttlSeconds = request.ttlSeconds.toLong()
        val id = request.id.toLong().takeIf { it != 0L } ?: (lastLeaseId + 1)
        val held = leaseEndsMs[id]
        if (held != null && held.endMs > nowMs) {
            throw KeyValueRefusal(LEASE_EXISTS, "etcdserver: lease already exists")
        }
        lastLeaseId = maxOf(lastLeaseId, id)
        leaseEndsMs[id] = Lease(ttlSeconds, nowMs + ttlSeconds * MS_PER_SECOND)
        return EtcdLeaseResponse(header(), id.toString(), ttlSeconds.toString())
    }

    /** Renews a lease. The answer for a lapsed lease has no time to live. */
    @Synchronized
    fun keepAlive(request: EtcdLeaseRequest, nowMs: Long): EtcdKeepAliveResponse {
        val id = request.id.toLong()
        val lease = leaseEndsMs[id]
        if (lease == null || lease.endMs <= nowMs) {
            leaseEndsMs.remove(id)
            return EtcdKeepAliveResponse(EtcdLeaseResponse(header(), request.id))
        }
        leaseEndsMs[id] = lease.copy(endMs = nowMs + lease.ttlSeconds * MS_PER_SECOND)
        val ttl = lease.ttlSeconds.toString()
        return EtcdKeepAliveResponse(EtcdLeaseResponse(header(), request.id, ttl))
    }

    private fun holds(compare: EtcdCompare): Boolean {
        if (compare.target != "VERSION") {
            throw KeyValueRefusal(INVALID_ARGUMENT, "target ${compare.target} is not supported")
        }
        val version = values[decoded(compare.key)]?.version ?: 0L
        val wanted = compare.version.toLong()
        return when (compare.result) {
            "EQUAL" -> version == wanted
            "NOT_EQUAL" -> version != wanted
            "GREATER" -> version > wanted
            "LESS" -> version < wanted
            else -> throw KeyValueRefusal(INVALID_ARGUMENT, "unknown result ${compare.result}")
        }
    }

    private fun run(operation: EtcdRequestOp): EtcdResponseOp {
        operation.requestPut?.let {
            write(it)
            return EtcdResponseOp(responsePut = EtcdPutResponse(header()))
        }
        return EtcdResponseOp(responseRange = operation.requestRange?.let(::range))
    }

    private fun write(request: EtcdPutRequest) {
        val key = decoded(request.key)
        val old = values[key]
        values[key] =
            StoredValue(
                request.value,
                (old?.version ?: 0L) + 1,
                old?.createRevision ?: revision,
                revision
            )
    }

    private fun requireSize(request: EtcdPutRequest) {
        val sizeBytes = Base64.getDecoder().decode(request.value).size
        if (sizeBytes > maxValueBytes) {
            throw KeyValueRefusal(INVALID_ARGUMENT, "etcdserver: request is too large")
        }
    }

    private fun header() = EtcdHeader("1", "1", revision.toString(), "1")

    private fun decoded(base64: String) =
        String(Base64.getDecoder().decode(base64), Charsets.ISO_8859_1)

    private fun encoded(key: String) =
        Base64.getEncoder().encodeToString(key.toByteArray(Charsets.ISO_8859_1))

    private data class StoredValue(
        val value: String,
        val version: Long,
        val createRevision: Long,
        val modRevision: Long
    ) {
        fun toKeyValue(key: String) =
            EtcdKeyValue(
                key,
                createRevision.toString(),
                modRevision.toString(),
                version.toString(),
                value
            )
    }

    private data class Lease(val ttlSeconds: Long, val endMs: Long)

    companion object {
        const val INVALID_ARGUMENT = 3
        const val RESOURCE_EXHAUSTED = 8
        const val LEASE_EXISTS = 9
        const val UNAVAILABLE = 14
        private const val MS_PER_SECOND = 1_000L
        private const val ALL_KEYS = "\u0000"
    }
}
