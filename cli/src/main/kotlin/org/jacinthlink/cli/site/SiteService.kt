package org.jacinthlink.cli.site

import org.jacinthlink.runtime.RunningProcess
import org.jacinthlink.sidecar.SidecarSettings
import org.jacinthlink.standins.PlainServiceStandIn

/** A plain service of a [LocalSite]. */
data class SiteService(
    val name: String,
    val service: PlainServiceStandIn,
    val settings: SidecarSettings,
    val sidecar: RunningProcess
)
