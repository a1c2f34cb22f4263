package org.jacinthlink.cli.daemons

import org.jacinthlink.cli.Command
import org.jacinthlink.entry.EntrySettings
import org.jacinthlink.entry.checkEntry
import org.jacinthlink.entry.startEntry
import org.jacinthlink.sidecar.SidecarSettings
import org.jacinthlink.sidecar.checkSidecar
import org.jacinthlink.sidecar.startSidecar

/** Commands that run the processes of the system. */
internal fun daemonCommands(): List<Command> =
    listOf(
        DaemonCommand(
            "entry",
            "Runs an entry",
            EntrySettings.serializer(),
            { checkEntry(it) }
        ) { startEntry(it, stopOnSignal = true) },
        DaemonCommand(
            "sidecar",
            "Runs the sidecar of one backend server",
            SidecarSettings.serializer(),
            { checkSidecar(it) }
        ) { startSidecar(it, stopOnSignal = true) }
    )
