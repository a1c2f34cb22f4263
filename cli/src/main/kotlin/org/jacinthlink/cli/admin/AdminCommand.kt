package org.jacinthlink.cli.admin

import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.jacinthlink.cli.Command
import org.jacinthlink.cli.ExitCode
import org.jacinthlink.cli.fail
import org.jacinthlink.runtime.http.peerClient

/** Command that calls the operators' API. The token never appears among the arguments. */
internal abstract class AdminCommand(name: String, description: String) :
    Command(name, description) {
    private val entry by
        option(ArgType.String, "entry", "e", "host and port of any entry")
            .default("127.0.0.1:7100")
    private val tokenFile by
        option(
            ArgType.String,
            "token-file",
            description = "file with the operator token; else \$$TOKEN_VARIABLE is used"
        )

    /** Uses [admin] and prints the answer. */
    abstract fun run(admin: AdminClient): ExitCode

    final override fun run(): ExitCode {
        val token =
            try {
                operatorToken()
            } catch (e: IOException) {
                return fail(ExitCode.SETTINGS_INVALID, "cannot read the token: ${e.message}")
            }
        if (token.isNullOrBlank()) {
            return fail(ExitCode.SETTINGS_INVALID, "set $TOKEN_VARIABLE or --token-file")
        }
        val client = peerClient(hasCallIds = true)
        return try {
            run(AdminClient(entry, token, client))
        } finally {
            client.close()
        }
    }

    /** Prints what [print] makes of the answer, or the failure. */
    protected fun show(answer: AdminAnswer, print: (String) -> ExitCode): ExitCode =
        when (answer) {
            is AdminAnswer.Ok -> print(answer.body)
            is AdminAnswer.Failed -> fail(answer.exitCode, answer.message)
        }

    private fun operatorToken(): String? =
        tokenFile?.let { Path.of(it).readText().trim() } ?: System.getenv(TOKEN_VARIABLE)

    private companion object {
        const val TOKEN_VARIABLE = "JACINTHLINK_OPERATOR_TOKEN"
    }
}
