package org.jacinthlink.runtime.http

/** A running HTTP server. */
interface HttpServer {
    /** Port that the server listens on. */
    val port: Int

    /** Requests and bytes served so far. */
    val traffic: HttpTraffic

    /** Closes the listening socket and all connections. */
    fun stop()
}
