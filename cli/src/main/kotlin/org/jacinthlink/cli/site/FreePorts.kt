package org.jacinthlink.cli.site

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Ports for daemons that are started a moment later.
 *
 * They lie below the range from which the system takes ports of outgoing connections; a port of
 * that range was taken now and then before the daemon listened on it.
 */
internal object FreePorts {
    private const val FIRST = 12_000
    private const val COUNT = 18_000
    private val offset = AtomicInteger((ProcessHandle.current().pid() * 97 % COUNT).toInt())

    /** A port that nobody listens on and that was not returned lately. */
    fun next(): Int =
        generateSequence { FIRST + offset.getAndIncrement().mod(COUNT) }.first(::isFree)

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            true
        } catch (_: IOException) {
            false
        }
}
