package org.jacinthlink.runtime.http

/** Passes the headers of each answer to [observer], with the address that answered. */
internal class ObservingPeerClient(
    private val delegate: PeerClient,
    private val observer: (address: String, headers: Map<String, String>) -> Unit
) : PeerClient {
    override fun call(call: PeerCall, timeoutMs: Long, fresh: Boolean): PeerResult {
        val result = delegate.call(call, timeoutMs, fresh)
        if (result is PeerResult.Answered) observer(addressOf(call.url), result.headers)
        return result
    }

    override fun stream(
        call: PeerCall,
        connectTimeoutMs: Long,
        listener: LineListener
    ): StreamCall =
        delegate.stream(call, connectTimeoutMs, ObservingListener(addressOf(call.url), listener))

    override fun close() = delegate.close()

    private inner class ObservingListener(
        private val address: String,
        private val listener: LineListener
    ) : LineListener by listener {
        override fun onStart(status: Int, headers: Map<String, String>) {
            observer(address, headers)
            listener.onStart(status, headers)
        }
    }
}

/** Value of the header [name], whatever its case. */
fun Map<String, String>.headerValue(name: String): String? =
    this[name] ?: entries.firstOrNull { it.key.equals(name, ignoreCase = true) }?.value

private fun addressOf(url: String): String = url.substringAfter("://").substringBefore('/')
