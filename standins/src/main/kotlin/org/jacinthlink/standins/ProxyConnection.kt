package org.jacinthlink.standins

import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

/** A client's connection and the one to the target, with a pipe in each direction. */
internal class ProxyConnection(
    private val client: Socket,
    private val target: Socket,
    private val link: ProxyLink,
    private val onClosed: (ProxyConnection) -> Unit
) {
    private val openPipes = AtomicInteger(2)
    private val toTarget = pipe(client, target, ProxyDirection.TO_TARGET)
    private val toClient = pipe(target, client, ProxyDirection.TO_CLIENT)

    @Volatile
    var isSilenced = false
        private set

    @Volatile
    var isCut = false
        private set

    fun start() {
        client.tcpNoDelay = true
        target.tcpNoDelay = true
        toTarget.start()
        toClient.start()
    }

    fun cut() {
        isCut = true
        reset(client)
        reset(target)
    }

    fun silence() {
        isSilenced = true
    }

    /** The receiver of [pipe] is gone, so its sender is told after all bytes still on the way. */
    fun receiverGone(pipe: ProxyPipe) {
        if (isSilenced) return
        (if (pipe === toTarget) toClient else toTarget).abortAfterQueue()
    }

    fun pipeEnded() {
        if (openPipes.decrementAndGet() > 0) return
        client.close()
        target.close()
        onClosed(this)
    }

    private fun pipe(from: Socket, to: Socket, direction: ProxyDirection) =
        ProxyPipe(this, link, direction, from, to)
}
