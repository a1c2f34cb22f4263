package org.jacinthlink.cli.site

import org.jacinthlink.entry.EntrySettings
import org.jacinthlink.runtime.RunningProcess

/** An entry of a [LocalSite]. */
data class SiteEntry(val name: String, val settings: EntrySettings, val process: RunningProcess)
