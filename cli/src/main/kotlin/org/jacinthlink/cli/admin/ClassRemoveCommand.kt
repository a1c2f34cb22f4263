package org.jacinthlink.cli.admin

import kotlinx.cli.ArgType
import org.jacinthlink.cli.ExitCode

internal class ClassRemoveCommand : ChangeCommand("class-remove", "Removes a class") {
    private val className by argument(ArgType.String, "class", "name of the class")
    private val ifMatch by
        option(ArgType.Int, "if-match", description = "revision that the change builds on")

    override fun run(admin: AdminClient): ExitCode {
        val path = "/v1/admin/classes/${pathSegment(className)}"
        return report(admin.call("DELETE", path, ifMatch = ifMatch?.toLong()))
    }
}
