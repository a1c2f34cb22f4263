package org.jacinthlink.cli.admin

import org.jacinthlink.api.Configuration
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.cli.ExitCode
import org.jacinthlink.entry.admin.StatusAnswer

internal class StatusCommand : AdminCommand("status", "Shows the fleet as one entry knows it") {
    override fun run(admin: AdminClient): ExitCode =
        show(admin.call("GET", "/v1/admin/status")) { status ->
            show(admin.call("GET", "/v1/admin/config")) { config ->
                print(
                    renderStatus(
                        ProtocolJson.decodeFromString(StatusAnswer.serializer(), status),
                        ProtocolJson.decodeFromString(Configuration.serializer(), config)
                    )
                )
                ExitCode.OK
            }
        }
}
