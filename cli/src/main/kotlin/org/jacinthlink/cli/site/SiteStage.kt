package org.jacinthlink.cli.site

import org.jacinthlink.api.Holding
import org.jacinthlink.runtime.RunningProcess
import org.jacinthlink.sidecar.SidecarSettings
import org.jacinthlink.standins.EngineStandIn

/** A runner of a [LocalSite]. */
data class SiteStage(
    val name: String,
    val holding: Holding.Stage,
    val engine: EngineStandIn,
    val settings: SidecarSettings,
    val sidecar: RunningProcess
)
