package org.jacinthlink.runtime.http

/** Receives a streamed answer line by line. Calls come from one thread at a time. */
interface LineListener {
    /** The answer began with [status]. */
    fun onStart(status: Int, headers: Map<String, String>) = Unit

    /** One line, without its line end. */
    fun onLine(line: String)

    /** The answer ended in the regular way. */
    fun onEnd()

    /** The call failed; [result] is never [PeerResult.Answered]. */
    fun onFailure(result: PeerResult)
}

/** A streamed call in progress. */
fun interface StreamCall {
    /** Closes the connection. The listener gets a failure unless the answer has ended. */
    fun cancel()
}
