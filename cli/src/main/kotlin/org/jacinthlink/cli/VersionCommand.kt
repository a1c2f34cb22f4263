package org.jacinthlink.cli

internal class VersionCommand : Command("version", "Prints the version") {
    override fun run(): ExitCode {
        println("jacinthlink ${javaClass.`package`.implementationVersion ?: "development build"}")
        return ExitCode.OK
    }
}
