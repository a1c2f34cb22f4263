package org.jacinthlink.transport

import io.netty.channel.Channel

/** State of one call: who listens, and which channel carries it. */
internal class ConnectionCall(val request: ClientRequest, private val listener: ClientListener) :
    ClientCall {
    private var channel: Channel? = null

    /** True once the listener hears nothing more. */
    var isEnded = false
        private set

    /** True once a part of the answer has come. */
    var hasHead = false
        private set

    fun attach(carrier: Channel) {
        channel = carrier
    }

    override fun cancel() {
        if (isEnded) return
        isEnded = true
        channel?.close()
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
