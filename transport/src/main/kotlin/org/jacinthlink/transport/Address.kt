package org.jacinthlink.transport

import java.net.InetAddress
import java.net.InetSocketAddress

/** An IPv4 address and a port. Host names are not resolved. */
data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    internal fun toSocketAddress(): InetSocketAddress =
        InetSocketAddress(InetAddress.getByAddress(octets()), port)

    private fun octets(): ByteArray =
        host.split('.').map { it.toInt().toByte() }.toByteArray()
}

/** Parses `IP:PORT`. Returns null if [text] has another form. */
fun parseAddress(text: String): Address? {
    val match = ADDRESS.matchEntire(text) ?: return null
    val (host, port) = match.destructured
    val isValid = host.split('.').all { it.toInt() <= MAX_OCTET } && port.toInt() in PORTS
    return if (isValid) Address(host, port.toInt()) else null
}

private val ADDRESS = Regex("""(\d{1,3}\.\d{1,3}\.\d{1,3}\.\d{1,3}):(\d{1,5})""")
private const val MAX_OCTET = 255
private val PORTS = 0..65_535
