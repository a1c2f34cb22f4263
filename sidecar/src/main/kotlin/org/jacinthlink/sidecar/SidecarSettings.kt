package org.jacinthlink.sidecar

import kotlinx.serialization.Serializable
import org.jacinthlink.api.Holding
import org.jacinthlink.decision.placement.PlacementLimits
import org.jacinthlink.runtime.daemon.DaemonSettings
import org.jacinthlink.runtime.daemon.checkDaemon
import org.jacinthlink.runtime.settings.Validation
import org.jacinthlink.sidecar.stage.HeadLimits
import org.jacinthlink.sidecar.stage.StageLimits

/**
 * Settings of a sidecar.
 *
 * @property instanceListUrl Base URL of the platform's instance list.
 * @property keyValueUrl Base URL of the platform's key-value service.
 * @property weightStoreUrl Base URL of the platform's weight store.
 * @property backendServerUrl Base URL of the engine or plain service beside this sidecar.
 * @property holding What the backend server serves; a runner returns to it after it stood in for
 *   others.
 */
@Serializable
data class SidecarSettings(
    val daemon: DaemonSettings,
    val instanceListUrl: String,
    val keyValueUrl: String,
    val weightStoreUrl: String,
    val backendServerUrl: String,
    val holding: Holding,
    val stage: StageLimits = StageLimits(),
    val head: HeadLimits = HeadLimits(),
    val placement: PlacementLimits = PlacementLimits()
)

/** Checks [settings] for what their types cannot state. */
fun Validation.checkSidecar(settings: SidecarSettings) {
    checkDaemon("daemon", settings.daemon)
    url("instanceListUrl", settings.instanceListUrl)
    url("keyValueUrl", settings.keyValueUrl)
    url("weightStoreUrl", settings.weightStoreUrl)
    url("backendServerUrl", settings.backendServerUrl)
    when (val holding = settings.holding) {
        is Holding.Stage -> checkStage(holding)
        is Holding.Service -> notBlank("holding.service", holding.service)
    }
    checkStageLimits(settings.stage)
    checkHeadLimits(settings.head)
    checkPlacement(settings.placement)
}

private fun Validation.checkStage(stage: Holding.Stage) {
    notBlank("holding.model", stage.model)
    inRange("holding.layerCount", stage.layerCount, 1..10_000)
    inRange("holding.endLayer", stage.endLayer, 1..stage.layerCount)
    inRange("holding.firstLayer", stage.firstLayer, 0 until stage.endLayer)
    inRange("holding.tokensPerSecond", stage.tokensPerSecond, 0.001..1e9)
}

private fun Validation.checkStageLimits(limits: StageLimits) {
    inRange("stage.maxStepPositions", limits.maxStepPositions, 1..65_536)
    inRange("stage.prefillChunkPositions", limits.prefillChunkPositions, 1..65_536)
    inRange("stage.maxRetainedBytes", limits.maxRetainedBytes, 0L..1_099_511_627_776L)
    inRange("stage.maxMessageBytes", limits.maxMessageBytes, 1..524_288)
    inRange("stage.acknowledgeTimeoutMs", limits.acknowledgeTimeoutMs, 10L..60_000L)
    inRange("stage.idleStreamMs", limits.idleStreamMs, 1_000L..3_600_000L)
}

private fun Validation.checkPlacement(limits: PlacementLimits) {
    limits.maxLayers?.let { inRange("placement.maxLayers", it, 1..10_000) }
    inRange("placement.gapMs", limits.gapMs, 500L..600_000L)
    inRange("placement.rankDelayMs", limits.rankDelayMs, 100L..600_000L)
    inRange("placement.returnMs", limits.returnMs, 1_000L..3_600_000L)
}

private fun Validation.checkHeadLimits(limits: HeadLimits) {
    limits.maxRunningStreams?.let { inRange("head.maxRunningStreams", it, 1..100_000) }
    inRange("head.heartbeatMs", limits.heartbeatMs, 10L..1_000L)
    inRange("head.silenceMs", limits.silenceMs, 50L..60_000L)
    inRange("head.stepStallMs", limits.stepStallMs, 50L..60_000L)
}
