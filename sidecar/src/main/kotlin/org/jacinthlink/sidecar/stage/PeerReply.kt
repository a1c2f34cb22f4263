package org.jacinthlink.sidecar.stage

/** Result of a message to another process, after its retry. */
internal sealed interface PeerReply<out T> {
    /** The peer answered. */
    data class Answered<out T>(val value: T) : PeerReply<T>

    /** The peer refused the message or did not answer; [isLost] if no message reaches it. */
    data class Failed(val message: String, val isLost: Boolean = false) : PeerReply<Nothing>
}
