package org.jacinthlink.router

import java.nio.file.Path
import org.jacinthlink.decision.retry.sharedRetryBudget
import org.jacinthlink.platform.fleet.EngineClient
import org.jacinthlink.platform.store.StoreClient
import org.jacinthlink.router.layout.LayerOrders
import org.jacinthlink.router.layout.LayoutController
import org.jacinthlink.router.layout.LeaderElection
import org.jacinthlink.router.layout.LeadershipLease
import org.jacinthlink.router.peers.GossipExchange
import org.jacinthlink.router.peers.GossipMessage
import org.jacinthlink.router.peers.SnapshotFetcher
import org.jacinthlink.router.peers.snapshotHandler
import org.jacinthlink.router.relay.EngineProbe
import org.jacinthlink.router.relay.FailureDetector
import org.jacinthlink.router.relay.PathMonitor
import org.jacinthlink.router.relay.PathTable
import org.jacinthlink.router.relay.Probing
import org.jacinthlink.router.relay.RelayContext
import org.jacinthlink.router.relay.RequestAdmission
import org.jacinthlink.router.relay.ServerNotices
import org.jacinthlink.router.relay.ServerThrottle
import org.jacinthlink.router.relay.SlowServerDetector
import org.jacinthlink.router.relay.StreamTable
import org.jacinthlink.router.relay.Telemetry
import org.jacinthlink.router.state.ConfigurationCache
import org.jacinthlink.router.state.PrefixWatcher
import org.jacinthlink.router.state.ServerRegistry
import org.jacinthlink.router.state.StoreListeners
import org.jacinthlink.router.state.storeWatches
import org.jacinthlink.transport.Address
import org.jacinthlink.transport.EventLoop
import org.jacinthlink.transport.eventLoop
import org.jacinthlink.transport.httpClient

/** A router, all of whose components run on one event loop. */
class Router internal constructor(private var settings: RouterSettings, failure: FailureEnd?) {
    private val log = decisionLog(settings.instance)
    private val loop: EventLoop = eventLoop("router", RouterLoopOwner(failure, log))
    private val clockMs: () -> Long = { System.nanoTime() / NANOS_PER_MS }
    private val metrics = RouterMetrics()
    private val http = httpClient(loop) { server, byteCount ->
        metrics.surplusReceived()
        log.event("surplus_bytes", "address" to server, "bytes" to byteCount)
    }
    private val store = StoreClient(loop, http, checkedAddress(settings.store))
    private val throttle = ServerThrottle()
    private val paths: PathTable by lazy {
        PathTable(log, servers, throttle, settings.availabilityZone) { slowServers.slow }
    }
    private val servers: ServerRegistry = ServerRegistry(log, clockMs) { paths.invalidate() }
    private val notices = ServerNotices(servers, throttle, log, clockMs)
    private val engines = EngineClient(loop, http, notices::record)
    private val configuration = ConfigurationCache(log, ::configurationChanged)
    private val probe = EngineProbe(loop, engines, clockMs)
    private val slowServers: SlowServerDetector =
        SlowServerDetector(loop, probe::requestReport, log) { paths.invalidate() }
    private val probing: Probing =
        Probing(settings.instance, metrics, throttle.pauses) { peers.alive }
    private val failureDetector =
        FailureDetector(
            loop, engines, probe, probing, slowServers, servers, configuration::healthPath, log,
            clockMs, { paths.invalidate() }, ::onUnresponsive
        )
    private val lease =
        LeadershipLease(loop, store, log, LEADERSHIP_KEY, settings.instance, LEADERSHIP_TTL_MS)
    private val orders =
        LayerOrders(loop, engines, servers, failureDetector, log, clockMs) {
            lease.markLost("fenced by $it")
        }
    private val layoutController =
        LayoutController(
            configuration, servers, failureDetector, probe, lease, orders,
            { paths.usedTokens(it) }, log, clockMs
        )
    private val retryBudget =
        with(settings.retryBudget) { sharedRetryBudget(windowMs, ratio, extra) }
    private val pathMonitor =
        PathMonitor(log, servers, failureDetector, probing, settings.serverDrainMs)
    private val streams = pathMonitor.streams
    private val telemetry = Telemetry(log, metrics)
    private val admission =
        RequestAdmission(loop, servers, throttle, paths, failureDetector, telemetry, clockMs)
    private val quarantine =
        RouterQuarantine(
            loop,
            store,
            telemetry,
            failureDetector,
            { lease.fencingToken != null },
            clockMs
        ) { peers.send() }
    private val context =
        RelayContext(
            loop, http, telemetry, servers, failureDetector, paths, admission, retryBudget, notices,
            quarantine.monitor, clockMs
        )
    private val startup = Startup(configuration, log, clockMs) { peers.known }
    private val quotas = workspaceQuotas(settings, clockMs())
    private val requests =
        RequestRouter(context, configuration, streams, quotas, startup::isServing)
    private val storeListeners = StoreListeners(configuration, servers)
    private val watches =
        storeWatches(loop, store, log, settings.instance, storeListeners, clockMs) {
            this.settings.shortWatchMs
        }
    private val snapshotFetcher =
        SnapshotFetcher(loop, http, settings.peerPort, configuration, servers, log)
    private val state =
        RouterState(
            configuration,
            servers,
            failureDetector,
            slowServers,
            paths,
            streams,
            quarantine.contents,
            notices,
            admission,
            quotas
        )
    private val gossip =
        RouterGossip(
            RouterIdentity(settings.instance, settings.host, System.currentTimeMillis()), state,
            retryBudget, lease, layoutController, { isDraining }, startup::isServing, watches,
            clockMs
        )
    private val peers: GossipExchange =
        GossipExchange(
            loop, store, log, Address(settings.host, settings.peerPort), settings.instance,
            settings.seeds.map { checkedAddress(it).host },
            clockMs, { gossip.compose() }, ::onGossip
        )
    private var isDraining = false
    private val peerUpdates =
        PeerUpdates(
            peers,
            PeerDependents(
                LeaderElection(settings.instance),
                lease,
                snapshotFetcher,
                paths,
                slowServers,
                retryBudget,
                streams,
                throttle,
                admission,
                quotas
            ),
            { this.settings.retryBudget.windowMs },
            PrefixWatcher.MAX_WAIT_MS
        )
    private lateinit var listeners: RouterListeners

    /** Opens the listeners and starts to watch the store. */
    fun start() {
        listeners =
            RouterListeners(
                loop,
                settings,
                { configuration.limits.toServerLimits() },
                requests,
                snapshotHandler(configuration, servers),
                ::isReady,
                metrics::text
            )
        peers.start()
        loop.execute {
            loop.observeInput(heldInputs(log, metrics))
            registerGauges()
            log.event("started", "clients" to settings.clients, "zone" to settings.availabilityZone)
            watches.start()
            quarantine.start()
            loop.repeat(StreamTable.TICK_MS) {
                pathMonitor.tick(clockMs())
                admission.tick()
            }
            loop.repeat(LAYOUT_TICK_MS) { layoutController.tick() }
            loop.repeat(PEER_TICK_MS) {
                watches.tick(peers.alive, clockMs())
                peerUpdates.tick(isDraining, watches.ageMs(clockMs()), clockMs())
                requests.releaseEarly()
            }
            loop.repeat(EXPIRE_TICK_MS) {
                servers.expire(clockMs())
                quarantine.tick()
            }
        }
    }

    private fun registerGauges() {
        with(metrics) {
            gauge("jacinthlink.streams") { streams.size }
            gauge("jacinthlink.streams.waiting") { admission.streams.waitingCount }
            gauge("jacinthlink.requests.oldest.ms") { requests.oldestAgeMs }
            gauge("jacinthlink.input.held.connections") { loop.heldInputCount }
            gauge("jacinthlink.peers") { peers.alive.size }
            gauge("jacinthlink.store.age.ms") { watches.ageMs(clockMs()) ?: -1 }
            gauge("jacinthlink.store.calls") { store.callCount }
            gauge("jacinthlink.servers.limited") { throttle.limits.limited(clockMs()).size }
            gauge("jacinthlink.contents.rejected") { quarantine.contents.harmful(clockMs()).size }
            registerMemoryGauges(listeners.memory, http.responseMemory)
            registerStateGauges(configuration, servers, failureDetector)
        }
    }

    /**
     * Loads the logging and the metrics library, after the router has started to serve requests.
     * Must not be called on the event loop, because it takes long.
     */
    fun openLogAndMetrics() {
        log.open()
        val meters = metrics.loadMeters()
        loop.execute { metrics.open(meters) }
    }

    /** Address for client requests, available after [start]. */
    val clientsAddress: Address get() = listeners.clientsAddress

    /** Address for readiness checks, available after [start]. */
    val readinessAddress: Address get() = listeners.readinessAddress

    /** Starts to reload the settings whenever [file] changes, and on SIGHUP. */
    fun watchSettings(file: Path) {
        SettingsWatcher(file, loop, log) {
            settings = it
            quotas.replace(it.toQuotas(), clockMs())
        }.start()
    }

    val isWorking: Boolean get() = loop.isRunning

    /** Closes all sockets immediately. */
    fun stop() {
        loop.stop()
    }

    /** Drains this router before the process ends. */
    fun drain() {
        val shutdown =
            RouterShutdown(loop, log, listeners, clockMs) {
                isDraining = true
                lease.release()
            }
        shutdown.run((settings.shutdownGraceS * MS_PER_S).toLong()) { requests.close() }
        log.open()
        Thread.sleep(LOG_FLUSH_MS)
    }

    private fun isReady(): Boolean {
        val services = configuration.current?.services?.values ?: return false
        val serves = services.any { servers.ready(it.name).isNotEmpty() }
        return !isDraining && startup.isServing() && serves
    }

    private fun configurationChanged() {
        paths.invalidate()
        requests.releaseEarly()
    }

    private fun onGossip(message: GossipMessage) {
        gossip.apply(message)
        requests.releaseEarly()
    }

    /**
     * Moves the streams away from a server. The peers are notified at once if this router detected
     * the failure itself, because their streams over this server are stalled as well.
     */
    private fun onUnresponsive(address: String, isReportedByPeer: Boolean) {
        quarantine.monitor.serverUnresponsive(address, clockMs())
        if (!isReportedByPeer) peers.send()
        streams.moveFromUnresponsive(address, clockMs(), isNewlyDetected = true)
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
        const val MS_PER_S = 1_000
        const val LEADERSHIP_KEY = "duty/layout"

        /**
         * The shortest lease that the store grants, because no router places layers between the end
         * of a leader and the expiry of its lease.
         */
        const val LEADERSHIP_TTL_MS = 1_000L
        const val LAYOUT_TICK_MS = 100L
        const val PEER_TICK_MS = 100L
        const val EXPIRE_TICK_MS = 200L
        const val LOG_FLUSH_MS = 50L
    }
}

/**
 * Creates a router with [settings]; it does nothing before [Router.start].
 *
 * @param failure Ends the process when the router can't go on; null leaves the process alone.
 */
internal fun router(settings: RouterSettings, failure: FailureEnd? = null): Router =
    Router(settings, failure)
