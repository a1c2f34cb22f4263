package org.jacinthlink.cli.admin

import org.jacinthlink.api.Configuration
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.cli.ExitCode

internal class ClassListCommand :
    AdminCommand("class-list", "Lists the classes with their targets") {
    override fun run(admin: AdminClient): ExitCode =
        show(admin.call("GET", "/v1/admin/config")) { body ->
            print(render(ProtocolJson.decodeFromString(Configuration.serializer(), body)))
            ExitCode.OK
        }

    companion object {
        /** The classes of [configuration] as a table, the most worth first. */
        fun render(configuration: Configuration): String =
            buildString {
                appendLine("revision ${configuration.revision}")
                appendLine(row("class", "target_ms", "token_gap_ms", "worth"))
                configuration.classes.values.sortedByDescending { it.worth }.forEach {
                    appendLine(row(it.name, it.targetMs, it.tokenGapMs, it.worth))
                }
            }

        private fun row(name: String, vararg cells: Any) =
            name.padEnd(NAME_WIDTH) + cells.joinToString("") { "$it".padStart(CELL_WIDTH) }

        private const val NAME_WIDTH = 24
        private const val CELL_WIDTH = 14
    }
}
