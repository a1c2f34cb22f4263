package org.jacinthlink.runtime.http

/** Receives the chunks of a [PushBody]. Safe for use by several threads. */
interface PushSink {
    /** Queues [chunk] and flushes it. Returns false if the connection is closed. */
    fun send(chunk: String): Boolean

    /** Ends the response after all queued chunks. */
    fun close()

    /** Closes the connection without ending the response, so that the peer gets no answer. */
    fun abort()

    /** Calls [listener] once if the peer goes away before [close]. */
    fun onDisconnect(listener: () -> Unit)
}
