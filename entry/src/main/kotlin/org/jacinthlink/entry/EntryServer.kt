package org.jacinthlink.entry

import java.util.UUID
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.jacinthlink.api.Headers
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.ResultCode
import org.jacinthlink.entry.admin.ADMIN_PREFIX
import org.jacinthlink.entry.admin.AdminRoutes
import org.jacinthlink.entry.admin.FIGURES_PATH
import org.jacinthlink.entry.calls.CallService
import org.jacinthlink.entry.calls.SERVICES_PREFIX
import org.jacinthlink.entry.chat.CRASHES_PATH
import org.jacinthlink.entry.chat.ChatService
import org.jacinthlink.entry.chat.PERMITS_PREFIX
import org.jacinthlink.entry.heads.HeadDirectory
import org.jacinthlink.runtime.http.errorResponse

/** Routes of callers and operators. */
internal class EntryServer(private val context: EntryContext) {
    private val heads = HeadDirectory(context)
    private val retries = RetryAccount(context.clock.nowMs())
    private val chat = ChatService(context, heads, retries)
    private val calls = CallService(context, retries)
    private val admin = AdminRoutes(context, heads)

    /** Requests of callers in execution. */
    val openRequests: Int get() = chat.openRequests + calls.openRequests

    /** Starts the tasks beside the requests. */
    fun start() {
        heads.start()
        chat.start()
        calls.start()
    }

    fun handle(request: Request): Response {
        val path = request.uri.path
        return when {
            path == CHAT_PATH -> withId { chat(request, it) }
            path.startsWith(SERVICES_PREFIX) -> withId { calls.handle(request, it) }
            path == CRASHES_PATH -> chat.handleCrashes(request)
            path.startsWith(PERMITS_PREFIX) -> chat.handlePermits(request)
            path == FIGURES_PATH -> admin.ownFigures()
            path.startsWith(ADMIN_PREFIX) -> admin.handle(request)
            else -> errorResponse(ResultCode.NOT_FOUND, "no route $path")
        }
    }

    private fun chat(request: Request, requestId: RequestId): Response =
        if (request.method == Method.POST) {
            chat.handle(request, requestId)
        } else {
            errorResponse(ResultCode.METHOD_NOT_ALLOWED, "use POST", requestId)
        }

    private fun withId(handler: (RequestId) -> Response): Response {
        val requestId = RequestId(UUID.randomUUID().toString())
        return handler(requestId).header(Headers.REQUEST_ID, requestId.value)
    }

    companion object {
        const val CHAT_PATH = "/v1/chat/completions"

        /** True if callers and operators reach [path]. */
        fun isOpen(path: String): Boolean =
            path == CHAT_PATH || path.startsWith(SERVICES_PREFIX) || path.startsWith(ADMIN_PREFIX)
    }
}
