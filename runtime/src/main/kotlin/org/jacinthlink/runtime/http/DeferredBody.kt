package org.jacinthlink.runtime.http

import java.io.InputStream
import java.nio.ByteBuffer
import org.http4k.core.Body
import org.http4k.core.Response

/**
 * Stands for a response that is decided later, without a thread that waits for it.
 *
 * [onStart] is called once with the function that sends the response, which may be called from any
 * thread and has an effect once only. Headers of the first response are sent with the later one.
 */
class DeferredBody(internal val onStart: ((Response) -> Unit) -> Unit) : Body {
    override val length: Long? = null

    override val payload: ByteBuffer get() = ByteBuffer.allocate(0)

    override val stream: InputStream get() = InputStream.nullInputStream()

    override fun close() = Unit
}
