package org.jacinthlink.router.standins

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Returns a TCP port that is free now on the first loopback addresses.
 *
 * The port is below the range of ephemeral ports, so that no outgoing connection and no listener on
 * port 0 takes it before it is bound.
 */
internal fun freePort(): Int =
    generateSequence { Random.nextInt(PORTS.first, PORTS.last) }
        .first { port -> HOSTS.all { isFree(it, port) } }

private fun isFree(host: String, port: Int): Boolean =
    try {
        ServerSocket(port, 1, InetAddress.getByName(host)).close()
        true
    } catch (_: IOException) {
        false
    }

/** Loopback addresses of the routers of a test. */
private val HOSTS = listOf("127.0.0.1", "127.0.0.2", "127.0.0.3")
private val PORTS = 20_000..32_000
