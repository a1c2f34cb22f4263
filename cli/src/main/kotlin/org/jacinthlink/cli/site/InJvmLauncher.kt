package org.jacinthlink.cli.site

import org.jacinthlink.api.Failure
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.Success
import org.jacinthlink.entry.EntrySettings
import org.jacinthlink.entry.startEntry
import org.jacinthlink.runtime.RunningProcess
import org.jacinthlink.sidecar.SidecarSettings
import org.jacinthlink.sidecar.startSidecar

/** Starts all daemons in this JVM. */
fun inJvmLauncher(): Launcher = InJvmLauncher()

private class InJvmLauncher : Launcher {
    override fun entry(settings: EntrySettings) = started(startEntry(settings))

    override fun sidecar(settings: SidecarSettings) = started(startSidecar(settings))

    private fun started(outcome: Outcome<RunningProcess>): RunningProcess =
        when (outcome) {
            is Success -> outcome.value
            is Failure -> error(outcome.message)
        }
}
