package org.jacinthlink.entry.calls

import java.util.concurrent.atomic.AtomicInteger
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Headers
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Success
import org.jacinthlink.entry.CallerIdentity
import org.jacinthlink.entry.EntryContext
import org.jacinthlink.entry.RetryAccount
import org.jacinthlink.entry.boundedExecutor
import org.jacinthlink.entry.callerIdentity
import org.jacinthlink.entry.refuse
import org.jacinthlink.entry.tryExecute
import org.jacinthlink.entry.withRetryAfter
import org.jacinthlink.runtime.http.DeferredBody
import org.jacinthlink.runtime.http.errorResponse

/** Serves `ANY /v1/services/{service}/{path}`. */
internal class CallService(private val context: EntryContext, private val retries: RetryAccount) {
    private val directory = ServiceDirectory(context)
    private val open = AtomicInteger()
    private val executor = newExecutor("calls")

    // Calls with a key wait for the key-value service; the others must not wait behind them.
    private val keyedExecutor = newExecutor("keyed-calls")

    /** Calls in execution. */
    val openRequests: Int get() = open.get()

    fun start() = directory.start()

    fun handle(request: Request, requestId: RequestId): Response =
        when (val accepted = accept(request, requestId)) {
            is Success -> dispatch(accepted.value)
            is Failure -> context.refuse(accepted, request, requestId)
        }

    private fun accept(request: Request, requestId: RequestId): Outcome<CallJob> {
        if (context.isClosed) return Failure(ResultCode.DRAINING, "the entry is stopping")
        val caller =
            when (val identity = callerIdentity(request, context.configuration.current)) {
                is Success -> identity.value
                is Failure -> return identity
            }
        return when (val target = callTarget(request)) {
            is Failure -> target
            is Success -> job(request, requestId, caller, target.value)
        }
    }

    private fun job(
        request: Request,
        requestId: RequestId,
        caller: CallerIdentity,
        target: CallTarget
    ): Outcome<CallJob> {
        val methods = directory.idempotentMethods(target.service)
        return when {
            methods != null ->
                when (val call = callRequest(request, requestId, caller, target, methods)) {
                    is Failure -> call
                    is Success ->
                        Success(CallJob(call.value, caller.workClass, context.clock.nowMs()))
                }
            directory.isFilled() && !context.isSettling ->
                Failure(
                    ResultCode.UNKNOWN_SERVICE,
                    "no instance offers service '${target.service}'"
                )
            else -> Failure(
                ResultCode.NO_BACKEND_SERVER,
                "no instance of service '${target.service}' is known yet"
            )
        }
    }

    private fun dispatch(job: CallJob): Response {
        context.eventLog.record(
            "request_received",
            job.requestId,
            "workspace" to job.call.workspace.value,
            "class" to job.workClass.name,
            "service" to job.call.service,
            "method" to job.call.method,
            "keyed" to (job.key != null)
        )
        retries.onRequest(job.receivedAtMs)
        open.incrementAndGet()
        return Response(Status.OK).body(
            DeferredBody { respond ->
                if (!executorOf(job).tryExecute { runSafely(job, respond) }) {
                    refuseFull(job, respond)
                }
            }
        )
    }

    private fun executorOf(job: CallJob) = if (job.key == null) executor else keyedExecutor

    private fun newExecutor(name: String) =
        boundedExecutor(
            context.scope,
            name,
            context.limits.callThreads,
            context.limits.maxQueuedCalls
        )

    private fun runSafely(job: CallJob, respond: (Response) -> Unit) {
        val dispatcher = CallDispatcher(job, context, directory, retries)
        val end =
            try {
                dispatcher.run()
            } catch (e: Exception) {
                CallEnd.Failed(ResultCode.INTERNAL_ERROR, "internal error: $e", notRun = false)
            }
        ended(job, end, dispatcher.attemptCount)
        respond(response(job, end))
    }

    private fun refuseFull(job: CallJob, respond: (Response) -> Unit) {
        val message = "${context.limits.maxQueuedCalls} calls already wait"
        val end = CallEnd.Failed(ResultCode.OVERLOADED, message, true, RETRY_AFTER_MS)
        ended(job, end, 0)
        respond(response(job, end))
    }

    private fun ended(job: CallJob, end: CallEnd, attemptCount: Int) {
        val failure = end as? CallEnd.Failed
        val elapsedMs = context.clock.nowMs() - job.receivedAtMs
        context.eventLog.record(
            "request_ended",
            job.requestId,
            "code" to (failure?.code ?: "OK"),
            "not_run" to failure?.notRun,
            "failed_attempts" to attemptCount,
            "elapsed_ms" to elapsedMs
        )
        context.metrics.ended(
            job.workClass.name,
            failure?.code,
            attemptCount,
            failure?.notRun ?: false,
            elapsedMs
        )
        context.metrics.callAnswered(job.workClass.name, elapsedMs)
        open.decrementAndGet()
    }

    private fun response(job: CallJob, end: CallEnd): Response =
        when (end) {
            is CallEnd.Failed ->
                errorResponse(end.code, end.message, job.requestId, end.notRun)
                    .withRetryAfter(end.retryAfterMs)
            is CallEnd.Answered ->
                end.answer.headers
                    .filterKeys(::isForwarded)
                    .entries
                    .fold(Response(Status(end.answer.status, null))) { response, (name, value) ->
                        response.header(name, value)
                    }
                    .header(Headers.REPLAYED, end.answer.replayed.toString())
                    .body(end.answer.body)
        }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
