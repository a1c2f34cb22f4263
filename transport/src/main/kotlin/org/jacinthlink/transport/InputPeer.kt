package org.jacinthlink.transport

/** Whom the bytes of a socket come from. All sockets of a peer share its part of the time. */
internal sealed interface InputPeer {
    /** A server that this process has connected to. */
    data class Server(val address: Address) : InputPeer {
        override fun toString(): String = "$address"
    }

    /** The host of clients that have connected to this process. */
    data class ClientHost(val host: String) : InputPeer {
        override fun toString(): String = host
    }
}
