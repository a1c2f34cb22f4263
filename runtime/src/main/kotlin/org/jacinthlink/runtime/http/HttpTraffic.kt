package org.jacinthlink.runtime.http

/** Totals of an HTTP server since its start; bytes include request lines and headers. */
data class HttpTraffic(val requests: Long, val receivedBytes: Long, val sentBytes: Long)
