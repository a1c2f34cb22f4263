package org.jacinthlink.runtime.http

/** Result of an HTTP call, telling apart what was surely not sent from what may have run. */
sealed interface PeerResult {
    /** The peer answered in full. */
    data class Answered(val status: Int, val headers: Map<String, String>, val body: String) :
        PeerResult {
        /** True for a 2xx status. */
        val isSuccess: Boolean get() = status in 200..299
    }

    /** No byte of the request reached the peer. */
    data class NotSent(val message: String) : PeerResult

    /** The request was sent at least in part and no whole answer came. */
    data class Unknown(val message: String) : PeerResult
}
