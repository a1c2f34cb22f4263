package org.jacinthlink.cli

fun main(args: Array<String>) = runCommandLine(listOf<Command>(), args)
