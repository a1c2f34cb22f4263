package org.jacinthlink.runtime.http

/**
 * Limits of an HTTP server.
 *
 * @property requestTimeoutMs Time within which a request's headers must arrive.
 */
data class ServerLimits(
    val ioThreads: Int = 2,
    val workerThreads: Int = 64,
    val maxBodyBytes: Long = 1_048_576,
    val maxHeaderBytes: Int = 16_384,
    val requestTimeoutMs: Int = 10_000,
    val maxConnections: Int = 2_000
)
