package org.jacinthlink.cli.site

import java.util.concurrent.CopyOnWriteArrayList
import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.ListedInstance
import org.jacinthlink.api.LoadOrder
import org.jacinthlink.api.ModelManifest
import org.jacinthlink.api.Role
import org.jacinthlink.entry.EntryLimits
import org.jacinthlink.entry.EntrySettings
import org.jacinthlink.runtime.RunningProcess
import org.jacinthlink.runtime.daemon.DaemonSettings
import org.jacinthlink.sidecar.SidecarSettings
import org.jacinthlink.sidecar.stage.HeadLimits
import org.jacinthlink.standins.EngineSettings
import org.jacinthlink.standins.InstanceListSettings
import org.jacinthlink.standins.ProxyListenerSettings
import org.jacinthlink.standins.WeightStoreSettings
import org.jacinthlink.standins.startEngineStandIn
import org.jacinthlink.standins.startFaultProxy
import org.jacinthlink.standins.startInstanceListStandIn
import org.jacinthlink.standins.startKeyValueStandIn
import org.jacinthlink.standins.startPlainServiceStandIn
import org.jacinthlink.standins.startWeightStoreStandIn

/** A running [SitePlan]. Its stand-ins run in this JVM; [launcher] places its daemons. */
class LocalSite(val plan: SitePlan, private val launcher: Launcher) : AutoCloseable {
    val keyValue = startKeyValueStandIn()
    val instanceList =
        startInstanceListStandIn(InstanceListSettings(lagMs = plan.instanceListLagMs))
    private val weightStore = startWeightStoreStandIn(WeightStoreSettings(models = manifests()))

    /** Proxy with a listener for each daemon, if the plan asks for it. */
    val proxy = if (plan.isProxied) startFaultProxy() else null

    /** Stages with their engines and sidecars, pipeline by pipeline. */
    val stages = CopyOnWriteArrayList<SiteStage>()

    /** Plain services with their sidecars. */
    val services = CopyOnWriteArrayList<SiteService>()

    /** Running entries. */
    val entries = CopyOnWriteArrayList<SiteEntry>()

    /** Starts all daemons and lists them. */
    fun start() {
        plan.pipelines.forEachIndexed { index, pipeline ->
            pipeline.stages.forEachIndexed { position, stage ->
                val name = "stage-$index-$position"
                addStage(name, pipeline.model, stage, pipeline.maxRunningStreams)
            }
        }
        plan.services.forEach { service ->
            service.zones.forEachIndexed { index, zone -> addService(index, service.service, zone) }
        }
        repeat(plan.entries) { addEntry("entry-$it", plan.zones[it % plan.zones.size]) }
    }

    /** Adds a runner that holds the layers of [stagePlan]. */
    fun addStage(
        name: String,
        model: String,
        stagePlan: StagePlan,
        maxRunningStreams: Int? = null
    ): SiteStage {
        val layerCount = layerCountOf(model)
        val order = LoadOrder(model, stagePlan.firstLayer, stagePlan.endLayer, layerCount, 0)
        val engine =
            startEngineStandIn(
                EngineSettings(
                    initial = order,
                    speed = stagePlan.speed,
                    crashWord = plan.crashWord
                )
            )
        val holding =
            Holding.Stage(
                model,
                stagePlan.firstLayer,
                stagePlan.endLayer,
                layerCount,
                stagePlan.tokensPerSecond
            )
        val settings =
            sidecarSettings(daemon(name, stagePlan.zone), holding, engine.address)
                .copy(head = HeadLimits(maxRunningStreams))
        val stage = SiteStage(name, holding, engine, settings, launcher.sidecar(settings))
        stages += stage
        list(name, Role.SIDECAR, settings.daemon)
        return stage
    }

    /** Starts an entry. */
    fun addEntry(name: String, zone: String): SiteEntry {
        val settings =
            EntrySettings(
                daemon(name, zone),
                "http://${instanceList.address}",
                "http://${keyValue.address}",
                OPERATOR_TOKEN,
                EntryLimits(drainNoticeMs = DRAIN_NOTICE_MS)
            )
        val entry = SiteEntry(name, settings, launcher.entry(settings))
        entries += entry
        list(name, Role.ENTRY, settings.daemon)
        return entry
    }

    /** Starts the sidecar of [settings] again, as after a crash. */
    fun restartSidecar(settings: SidecarSettings): RunningProcess = launcher.sidecar(settings)

    override fun close() {
        val daemons =
            entries.map { it.process } + stages.map { it.sidecar } + services.map { it.sidecar }
        daemons.parallelStream().forEach { it.stop() }
        stages.forEach { it.engine.stop() }
        services.forEach { it.service.stop() }
        listOfNotNull(keyValue, instanceList, weightStore, proxy).forEach { it.stop() }
    }

    private fun addService(index: Int, service: String, zone: String) {
        val name = "$service-$index"
        val standIn = startPlainServiceStandIn()
        val holding = Holding.Service(service)
        val settings = sidecarSettings(daemon(name, zone), holding, standIn.address)
        services += SiteService(name, standIn, settings, launcher.sidecar(settings))
        list(name, Role.SIDECAR, settings.daemon)
    }

    private fun sidecarSettings(daemon: DaemonSettings, holding: Holding, backend: String) =
        SidecarSettings(
            daemon = daemon,
            instanceListUrl = "http://${instanceList.address}",
            keyValueUrl = "http://${keyValue.address}",
            weightStoreUrl = "http://${weightStore.address}",
            backendServerUrl = "http://$backend",
            holding = holding
        )

    private fun daemon(name: String, zone: String): DaemonSettings {
        val port = FreePorts.next()
        val proxied = proxy?.addListener(ProxyListenerSettings(name, "127.0.0.1:$port"))
        return DaemonSettings(
            name = name,
            port = port,
            advertisedAddress = proxied,
            availabilityZone = zone,
            peerToken = PEER_TOKEN,
            schedulingPolicy = plan.policy
        )
    }

    private fun list(name: String, role: Role, daemon: DaemonSettings) =
        instanceList.add(
            ListedInstance(
                InstanceId(name),
                role,
                daemon.advertisedAddress ?: "${daemon.host}:${daemon.port}",
                daemon.availabilityZone
            )
        )

    private fun manifests() =
        plan.pipelines.map { it.model }.distinct().map {
            ModelManifest(it, layerCountOf(it), LAYER_SIZE_BYTES)
        }

    private fun layerCountOf(model: String) =
        plan.pipelines.filter { it.model == model }.flatMap { it.stages }.maxOf { it.endLayer }

    companion object {
        /** Operator token of local sites; they listen on the loopback address only. */
        const val OPERATOR_TOKEN = "local-site-operator-token"

        /** Token of the processes of local sites. */
        const val PEER_TOKEN = "local-site-peer-token"

        // Health checks of a local site are many times as frequent as those of a platform.
        private const val DRAIN_NOTICE_MS = 2_000L
        private const val LAYER_SIZE_BYTES = 1_000_000_000L
    }
}
