package org.jacinthlink.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.Subcommand

/** Subcommand that ends the process with the exit code of [run]. */
internal abstract class Command(name: String, description: String) :
    Subcommand(name, description) {
    /** Does the command's work. */
    abstract fun run(): ExitCode

    final override fun execute() {
        val code = run()
        if (code != ExitCode.OK) kotlin.system.exitProcess(code.number)
    }
}

/** Prints [message] on standard error and returns [code]. */
internal fun fail(code: ExitCode, message: String): ExitCode {
    System.err.println("jacinthlink: $message")
    return code
}

/** Parses [args] and runs the command that they name. */
internal fun runCommandLine(commands: List<Command>, args: Array<String>) {
    val parser = ArgParser("jacinthlink", strictSubcommandOptionsOrder = true)
    parser.subcommands(*commands.toTypedArray())
    parser.parse(args.ifEmpty { arrayOf("--help") })
}
