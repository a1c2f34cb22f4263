package org.jacinthlink.transport

import io.netty.channel.Channel

/** State of one call: its listener and the channel that carries it. */
internal class ConnectionCall(val request: ClientRequest, private val listener: ClientListener) :
    ClientCall {
    private var channel: Channel? = null
    private var input: PacedInput? = null

    /** True once the listener is not called any more. */
    var isEnded = false
        private set

    /** True once all bytes of the request have been written to the socket. */
    var isSent = false

    /** True once status and headers of the response have arrived. */
    var hasHead = false
        private set

    /** Sets the channel of the call and, once it is connected, the [input] of it. */
    fun attach(carrier: Channel, input: PacedInput? = null) {
        channel = carrier
        this.input = input
    }

    override fun cancel() {
        if (isEnded) return
        isEnded = true
        channel?.close()
    }

    override fun disown() {
        channel?.close()
    }

    override fun setReading(isReading: Boolean) {
        if (!isEnded) input?.isWanted = isReading
    }

    fun head(status: Int, headers: List<HeaderField>) {
        if (isEnded) return
        hasHead = true
        listener.onHead(status, headers)
    }

    fun body(part: ByteArray) {
        if (!isEnded) listener.onBody(part)
    }

    fun complete() {
        if (isEnded) return
        isEnded = true
        listener.onComplete()
    }

    fun fail(failure: CallFailure) {
        if (isEnded) return
        isEnded = true
        listener.onFailure(failure)
    }
}
