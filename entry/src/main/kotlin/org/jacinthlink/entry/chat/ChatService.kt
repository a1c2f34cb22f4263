package org.jacinthlink.entry.chat

import java.util.concurrent.ConcurrentHashMap
import kotlinx.serialization.SerializationException
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Success
import org.jacinthlink.api.decodeBounded
import org.jacinthlink.decision.quarantine.RunMode
import org.jacinthlink.entry.EntryContext
import org.jacinthlink.entry.RetryAccount
import org.jacinthlink.entry.callerIdentity
import org.jacinthlink.entry.heads.HeadDirectory
import org.jacinthlink.entry.refuse
import org.jacinthlink.runtime.http.DeferredBody
import org.jacinthlink.runtime.http.errorResponse
import org.jacinthlink.runtime.supervision.IdleGate

/** Serves `POST /v1/chat/completions`. */
internal class ChatService(
    private val context: EntryContext,
    private val heads: HeadDirectory,
    private val retries: RetryAccount
) {
    private val crashes = CrashRegister(context)
    private val permits = ContentPermits(context, crashes)
    private val permitRoutes = PermitRoutes(permits)
    private val parts = ChatParts(context, heads, retries, crashes, permits)
    private val relays = ConcurrentHashMap.newKeySet<ChatRelay>()
    private val watchdogGate = IdleGate { relays.isNotEmpty() }

    /** Requests in execution. */
    val openRequests: Int get() = relays.size

    fun start() {
        crashes.start()
        context.scope.repeat("stream-watchdog", { WATCHDOG_INTERVAL_MS }) {
            watchdogGate.pass()
            relays.forEach { it.tick(context.clock.nowMs()) }
        }
    }

    /** Takes a [CrashNotice] of another entry. */
    fun handleCrashes(request: Request): Response =
        try {
            val notice =
                ProtocolJson.decodeBounded(CrashNotice.serializer(), request.bodyString())
            crashes.noticed(notice.crashes, context.clock.nowMs())
            Response(Status.NO_CONTENT)
        } catch (_: SerializationException) {
            errorResponse(ResultCode.MALFORMED_REQUEST, "not a crash notice")
        }

    /** Answers another entry about the runs of a content. */
    fun handlePermits(request: Request): Response = permitRoutes.handle(request)

    fun handle(request: Request, requestId: RequestId): Response =
        when (val accepted = accept(request, requestId)) {
            is Success -> relay(accepted.value)
            is Failure -> context.refuse(accepted, request, requestId)
        }

    private fun accept(request: Request, requestId: RequestId): Outcome<ChatJob> {
        if (context.isClosed) return Failure(ResultCode.DRAINING, "the entry is stopping")
        val caller =
            when (val identity = callerIdentity(request, context.configuration.current)) {
                is Success -> identity.value
                is Failure -> return identity
            }
        return when (val chat = parseChatRequest(request.bodyString(), context.limits)) {
            is Failure -> chat
            is Success -> check(ChatJob(requestId, caller, chat.value, context.clock.nowMs()))
        }
    }

    private fun check(job: ChatJob): Outcome<ChatJob> =
        when {
            !heads.isKnown(job.chat.model) && heads.plans().isNotEmpty() && !context.isSettling ->
                Failure(
                    ResultCode.UNKNOWN_MODEL,
                    "no instance holds model '${job.chat.model.take(SHOWN)}'"
                )
            crashes.mode(job.chat, job.receivedAtMs) == RunMode.REFUSED ->
                Failure(
                    ResultCode.QUARANTINED,
                    "the request crashed backend servers; fingerprint ${job.chat.fingerprint}"
                )
            else -> Success(job)
        }

    private fun relay(job: ChatJob): Response {
        context.eventLog.record(
            "request_received",
            job.requestId,
            "workspace" to job.caller.workspace.value,
            "class" to job.caller.workClass.name,
            "model" to job.chat.model,
            "prompt_tokens" to job.chat.promptTokens.size
        )
        retries.onRequest(job.receivedAtMs)
        return Response(Status.OK).body(DeferredBody { respond -> start(job, respond) })
    }

    private fun start(job: ChatJob, respond: (Response) -> Unit) {
        val responder =
            if (job.chat.stream) StreamResponder(job, respond) else WholeResponder(job, respond)
        lateinit var relay: ChatRelay
        relay = ChatRelay(job, parts, responder) { relays -= relay }
        relays += relay
        watchdogGate.workArrived()
        relay.start()
    }

    private companion object {
        const val WATCHDOG_INTERVAL_MS = 100L
        const val SHOWN = 64
    }
}
