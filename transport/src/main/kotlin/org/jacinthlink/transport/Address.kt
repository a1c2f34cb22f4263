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
    val host = text.substringBeforeLast(':', "")
    val port = text.substringAfterLast(':').takeIf(PORT::matches)?.toInt()
    return if (isIpv4Host(host) && port in PORTS) port?.let { Address(host, it) } else null
}

/** True if [text] is an IPv4 address in decimal notation. */
fun isIpv4Host(text: String): Boolean =
    HOST.matches(text) && text.split('.').all { it.toInt() <= MAX_OCTET }

private val HOST = Regex("""\d{1,3}\.\d{1,3}\.\d{1,3}\.\d{1,3}""")
private val PORT = Regex("""\d{1,5}""")
private const val MAX_OCTET = 255
private val PORTS = 0..65_535
