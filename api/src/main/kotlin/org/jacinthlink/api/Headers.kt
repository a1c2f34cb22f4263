package org.jacinthlink.api

/** Names of HTTP headers of the system. */
object Headers {
    const val WORKSPACE = "x-jacinthlink-workspace"
    const val WORK_CLASS = "x-jacinthlink-class"
    const val REQUEST_ID = "x-jacinthlink-request-id"
    const val REVISION = "x-jacinthlink-revision"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val REPLAYED = "x-jacinthlink-replayed"
}
