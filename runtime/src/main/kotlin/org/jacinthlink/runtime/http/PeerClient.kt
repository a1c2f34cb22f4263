package org.jacinthlink.runtime.http

/** HTTP client for peers, backend servers and the platform. It never repeats a call by itself. */
interface PeerClient {
    /**
     * Sends one call and waits for its whole answer.
     *
     * @param fresh True to open a new connection, as after a timeout on a pooled one.
     */
    fun call(call: PeerCall, timeoutMs: Long, fresh: Boolean = false): PeerResult

    /** Sends one call and passes its answer on line by line. No read timeout applies. */
    fun stream(call: PeerCall, connectTimeoutMs: Long, listener: LineListener): StreamCall

    /** Closes idle connections and stops the client's threads. */
    fun close()
}

/** One call. [url] is absolute. */
data class PeerCall(
    val method: String,
    val url: String,
    val body: String? = null,
    val headers: Map<String, String> = emptyMap()
)
