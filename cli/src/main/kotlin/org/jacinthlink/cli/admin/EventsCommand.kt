package org.jacinthlink.cli.admin

import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlinx.cli.ArgType
import kotlinx.cli.optional
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.cli.ExitCode
import org.jacinthlink.cli.fail
import org.jacinthlink.entry.admin.EventsAnswer

internal class EventsCommand :
    AdminCommand("events", "Shows the time line of a request, class or fault over all processes") {
    private val requestId by
        argument(ArgType.String, "request-id", "as the answer's header says").optional()
    private val className by
        option(ArgType.String, "class", description = "the latest requests of this class")
    private val fault by
        option(
            ArgType.String,
            "fault",
            description = "an instance that failed, or the name of the event of a fault"
        )
    private val html by
        option(ArgType.String, "html", description = "file to write the time line to as a page")

    override fun run(admin: AdminClient): ExitCode {
        val subjects =
            listOfNotNull(
                requestId?.let { "request_id" to it },
                className?.let { "class" to it },
                fault?.let { "fault" to it }
            )
        val (kind, subject) =
            subjects.singleOrNull()
                ?: return fail(ExitCode.SETTINGS_INVALID, "give a request id, --class or --fault")
        return show(admin.call("GET", "/v1/admin/events?$kind=${pathSegment(subject)}")) { body ->
            val answer = ProtocolJson.decodeFromString(EventsAnswer.serializer(), body)
            print("${kind.removeSuffix("_id")} $subject", answer)
        }
    }

    private fun print(title: String, answer: EventsAnswer): ExitCode {
        val file = html
        if (file == null) {
            print(renderTimeLine(answer.events))
        } else {
            try {
                Path.of(file).writeText(timeLinePage(title, answer))
            } catch (e: IOException) {
                return fail(ExitCode.SETTINGS_INVALID, "cannot write $file: ${e.message}")
            }
            println("${answer.events.size} events in $file")
        }
        return if (answer.missing.isEmpty()) {
            ExitCode.OK
        } else {
            fail(ExitCode.INCOMPLETE, "no events from: ${answer.missing.joinToString()}")
        }
    }
}
