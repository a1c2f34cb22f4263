package org.jacinthlink.runtime.http

/** A running HTTP server. */
interface HttpServer {
    /** Port that the server listens on. */
    val port: Int

    /** Closes the listening socket and all connections. */
    fun stop()
}
