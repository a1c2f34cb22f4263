package org.jacinthlink.cli.admin

import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.cli.ExitCode
import org.jacinthlink.cli.fail
import org.jacinthlink.entry.admin.StatusAnswer

internal class StatusCommand :
    AdminCommand("status", "Shows how targets are met, and the fleet as one entry knows it") {
    override fun run(admin: AdminClient): ExitCode =
        show(admin.call("GET", "/v1/admin/status")) { body ->
            val status = ProtocolJson.decodeFromString(StatusAnswer.serializer(), body)
            print(renderStatus(status))
            if (status.missingEntries.isEmpty()) {
                ExitCode.OK
            } else {
                val missing = status.missingEntries.joinToString()
                fail(ExitCode.INCOMPLETE, "no figures from: $missing")
            }
        }
}
