package org.jacinthlink.cli.admin

import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.cli.ExitCode
import org.jacinthlink.cli.fail
import org.jacinthlink.entry.admin.ChangeAnswer

/** Command that changes the configuration and reports where the change is in force. */
internal abstract class ChangeCommand(name: String, description: String) :
    AdminCommand(name, description) {
    protected fun report(answer: AdminAnswer): ExitCode =
        show(answer) { body ->
            val change = ProtocolJson.decodeFromString(ChangeAnswer.serializer(), body)
            val inForce = change.inForce.count { it.revision >= change.revision }
            println("revision ${change.revision} is in force on $inForce instances")
            if (change.missing.isEmpty()) ExitCode.OK else missing(change)
        }

    private fun missing(change: ChangeAnswer): ExitCode =
        fail(
            ExitCode.INCOMPLETE,
            "the change is accepted; not confirmed by: " +
                change.missing.joinToString { it.value }
        )
}
