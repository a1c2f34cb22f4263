package org.jacinthlink.cli.admin

import kotlinx.cli.ArgType
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.cli.ExitCode
import org.jacinthlink.cli.fail
import org.jacinthlink.entry.admin.EventsAnswer

internal class EventsCommand :
    AdminCommand("events", "Shows the time line of one request over all processes") {
    private val requestId by argument(ArgType.String, "request-id", "as the answer's header says")

    override fun run(admin: AdminClient): ExitCode =
        show(admin.call("GET", "/v1/admin/events?request_id=${pathSegment(requestId)}")) { body ->
            val answer = ProtocolJson.decodeFromString(EventsAnswer.serializer(), body)
            print(renderTimeLine(answer.events))
            if (answer.missing.isEmpty()) {
                ExitCode.OK
            } else {
                fail(ExitCode.INCOMPLETE, "no events from: ${answer.missing.joinToString()}")
            }
        }
}
