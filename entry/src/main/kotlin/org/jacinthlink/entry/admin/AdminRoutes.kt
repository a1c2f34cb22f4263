package org.jacinthlink.entry.admin

import java.util.UUID
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.Configuration
import org.jacinthlink.api.ConfigurationChange
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Success
import org.jacinthlink.api.WorkClass
import org.jacinthlink.api.decodeBounded
import org.jacinthlink.entry.EntryContext
import org.jacinthlink.entry.heads.HeadDirectory
import org.jacinthlink.runtime.configuration.AppliedChange
import org.jacinthlink.runtime.events.EventFilter
import org.jacinthlink.runtime.http.errorResponse
import org.jacinthlink.runtime.http.jsonResponse

/** Prefix of the paths of operators. */
internal const val ADMIN_PREFIX = "/v1/admin/"

/** Serves the routes of operators. */
internal class AdminRoutes(private val context: EntryContext, private val heads: HeadDirectory) {
    private val operators = OperatorCheck(context.settings.operatorToken)
    private val events = EventGatherer(context)
    private val figures = FiguresGatherer(context)
    private val status = StatusReport(context, heads, figures)

    /** Answers another entry. */
    fun ownFigures(): Response = figures.own()

    fun handle(request: Request): Response {
        if (!operators.isOperator(request)) {
            return errorResponse(ResultCode.UNAUTHORIZED, "the operator token is missing or wrong")
        }
        val path = request.uri.path.removePrefix(ADMIN_PREFIX).split('/')
        return when {
            path == listOf("config") -> get(request) { config() }
            path == listOf("status") -> get(request) { status() }
            path == listOf("events") -> get(request) { events(request) }
            path.size == 2 && path[0] == "classes" -> changeClass(request, path[1])
            path.size == 2 && path[0] == "quarantine" -> release(request, path[1])
            else -> errorResponse(ResultCode.NOT_FOUND, "no route ${request.uri.path}")
        }
    }

    private fun get(request: Request, answer: () -> Response): Response =
        if (request.method == Method.GET) answer() else notAllowed("GET")

    private fun config() = json(Configuration.serializer(), context.configuration.current)

    private fun status() = json(StatusAnswer.serializer(), status.answer())

    private fun events(request: Request): Response {
        val given = EVENT_QUERIES.mapNotNull { name -> request.query(name)?.let { name to it } }
        val (name, value) = given.singleOrNull() ?: (null to "")
        if (name == null || !EVENT_SUBJECT.matches(value)) {
            val message = "one of the queries ${EVENT_QUERIES.joinToString()} is needed"
            return errorResponse(ResultCode.MALFORMED_REQUEST, message)
        }
        val filter =
            when (name) {
                "class" -> EventFilter.OfClass(value)
                "fault" -> EventFilter.OfFault(value)
                else -> EventFilter.OfRequests(setOf(value))
            }
        return json(EventsAnswer.serializer(), events.gather(filter))
    }

    private fun changeClass(request: Request, name: String): Response =
        when (request.method) {
            Method.DELETE -> change(request, ConfigurationChange.RemoveClass(newId(), name))
            Method.PUT ->
                when (val workClass = classBody(request, name)) {
                    is Success ->
                        change(request, ConfigurationChange.PutClass(newId(), workClass.value))
                    is Failure -> errorResponse(workClass.code, workClass.message)
                }
            else -> notAllowed("PUT or DELETE")
        }

    private fun release(request: Request, fingerprint: String): Response =
        if (request.method == Method.DELETE) {
            change(request, ConfigurationChange.Release(newId(), fingerprint))
        } else {
            notAllowed("DELETE")
        }

    private fun classBody(request: Request, name: String): Outcome<WorkClass> =
        try {
            val body =
                ProtocolJson.decodeBounded(ClassBody.serializer(), request.bodyString())
            if (body.name == null || body.name == name) {
                Success(WorkClass(name, body.targetMs, body.tokenGapMs, body.worth))
            } else {
                malformed("name: '${body.name}' differs from '$name' in the path")
            }
        } catch (e: SerializationException) {
            malformed("the body is not a class: ${e.message?.lineSequence()?.first()}")
        }

    private fun change(request: Request, change: ConfigurationChange): Response {
        val ifMatch = request.header("If-Match")?.trim('"')
        val expected = ifMatch?.toLongOrNull()
        if (ifMatch != null && expected == null) {
            return errorResponse(
                ResultCode.MALFORMED_REQUEST,
                "If-Match must be a revision, was '${ifMatch.take(SHOWN)}'"
            )
        }
        return when (val result = context.configurationEditor.apply(change, expected)) {
            is Failure -> errorResponse(result.code, result.message)
            is Success -> json(ChangeAnswer.serializer(), answerOf(result.value))
        }
    }

    private fun answerOf(applied: AppliedChange) =
        ChangeAnswer(
            applied.revision,
            applied.inForce.map { InForce(it.key, it.value) },
            applied.missing
        )

    private fun malformed(message: String) = Failure(ResultCode.MALFORMED_REQUEST, message)

    private fun notAllowed(methods: String) =
        errorResponse(ResultCode.METHOD_NOT_ALLOWED, "use $methods")

    private fun newId() = UUID.randomUUID().toString()

    private fun <T> json(serializer: KSerializer<T>, value: T) =
        jsonResponse(Status.OK, ProtocolJson.encodeToString(serializer, value))

    private companion object {
        const val SHOWN = 64
        val EVENT_QUERIES = listOf("request_id", "class", "fault")

        // Instance ids are a name of up to 64 characters, "~" and eight digits.
        val EVENT_SUBJECT = Regex("[A-Za-z0-9._~-]{1,80}")
    }
}
