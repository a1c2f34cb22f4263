package org.jacinthlink.cli.site

import org.jacinthlink.entry.EntrySettings
import org.jacinthlink.runtime.RunningProcess
import org.jacinthlink.sidecar.SidecarSettings

/** Starts the daemons of a [LocalSite], in this JVM or as processes. */
interface Launcher {
    /** Starts an entry. */
    fun entry(settings: EntrySettings): RunningProcess

    /** Starts a sidecar. */
    fun sidecar(settings: SidecarSettings): RunningProcess
}
