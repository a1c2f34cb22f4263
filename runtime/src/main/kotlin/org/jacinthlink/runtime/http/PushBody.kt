package org.jacinthlink.runtime.http

import java.io.InputStream
import java.nio.ByteBuffer
import org.http4k.core.Body

/**
 * Response body that is pushed chunk by chunk, without a thread for each idle response.
 *
 * [onStart] is called once, after the response's headers were sent to the connection.
 */
class PushBody(internal val onStart: (PushSink) -> Unit) : Body {
    override val length: Long? = null

    override val payload: ByteBuffer get() = ByteBuffer.allocate(0)

    override val stream: InputStream get() = InputStream.nullInputStream()

    override fun close() = Unit
}
