package org.jacinthlink.cli.admin

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.WorkClass
import org.jacinthlink.cli.ExitCode

internal class ClassSetCommand : ChangeCommand("class-set", "Creates or changes a class") {
    private val className by argument(ArgType.String, "class", "name of the class")
    private val targetMs by
        option(ArgType.Int, "target-ms", description = "time to the first token or whole answer")
            .required()
    private val worth by
        option(ArgType.Int, "worth", description = "importance beside the other classes")
            .required()
    private val tokenGapMs by
        option(ArgType.Int, "token-gap-ms", description = "time between two tokens")
            .default(WorkClass.DEFAULT_TOKEN_GAP_MS.toInt())
    private val ifMatch by
        option(ArgType.Int, "if-match", description = "revision that the change builds on")

    override fun run(admin: AdminClient): ExitCode {
        val workClass = WorkClass(className, targetMs.toLong(), tokenGapMs.toLong(), worth)
        val body = ProtocolJson.encodeToString(WorkClass.serializer(), workClass)
        val path = "/v1/admin/classes/${pathSegment(className)}"
        return report(admin.call("PUT", path, body, ifMatch?.toLong()))
    }
}
