package org.jacinthlink.runtime.daemon

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.random.Random
import org.http4k.core.Request
import org.http4k.core.Response
import org.jacinthlink.api.Headers
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.ListedInstance
import org.jacinthlink.api.Role
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.configuration.ConfigurationConfirmation
import org.jacinthlink.runtime.configuration.ConfigurationEditor
import org.jacinthlink.runtime.configuration.ConfigurationEndpoint
import org.jacinthlink.runtime.configuration.ConfigurationPeers
import org.jacinthlink.runtime.configuration.ConfigurationStore
import org.jacinthlink.runtime.configuration.ConfigurationSync
import org.jacinthlink.runtime.configuration.KeyValueConfigurationEditor
import org.jacinthlink.runtime.events.eventLog
import org.jacinthlink.runtime.events.logicalClock
import org.jacinthlink.runtime.http.HttpServer
import org.jacinthlink.runtime.http.HttpTraffic
import org.jacinthlink.runtime.http.ObservingPeerClient
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.http.peerClient
import org.jacinthlink.runtime.http.startHttpServer
import org.jacinthlink.runtime.membership.DescribeRates
import org.jacinthlink.runtime.membership.INCARNATION_SEPARATOR
import org.jacinthlink.runtime.membership.MembershipParts
import org.jacinthlink.runtime.membership.PeerInstanceList
import org.jacinthlink.runtime.membership.PollingMembership
import org.jacinthlink.runtime.supervision.rootScope

internal class HttpDaemonShell(private val setup: DaemonSetup) : DaemonShell {
    override val settings = setup.settings
    override val instance = InstanceId("${settings.name}$INCARNATION_SEPARATOR${newIncarnation()}")
    override val clock: Clock = setup.clock
    private val logicalClock = logicalClock()
    override val eventLog =
        eventLog(instance.value, clock, settings.eventCapacity, logicalClock)
    override val meters = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    override val scope = rootScope(setup.role.name.lowercase(), eventLog, meters)
    override val configuration = ConfigurationStore(eventLog)
    val protocol = PeerProtocol(settings.peerToken, logicalClock, clock, configuration)

    override val externalClient = peerClient()
    override val peerClient: PeerClient = newPeerClient()

    // A failed call empties the pool of its client, so control traffic has a client of its own.
    private val controlClient: PeerClient = newPeerClient()

    override val platform = setup.platform(externalClient)
    override val membership = PollingMembership(membershipParts())
    private val configurationPeers = ConfigurationPeers(controlClient)
    val sync =
        ConfigurationSync(
            configuration,
            platform.keyValue,
            configurationPeers,
            membership::peerAddresses,
            eventLog
        )
    val configurationEndpoint = ConfigurationEndpoint(configuration)
    override val configurationEditor: ConfigurationEditor = newEditor()

    private val subscribers = DescribeSubscribers()
    private val announcer =
        Announcer(
            ::describe,
            { membership.listedPeers().filter { it.role == Role.ENTRY }.map { it.address } },
            { subscribers.recent(clock.nowMs()) },
            controlClient
        )
    private val drainStarted = AtomicBoolean(false)
    private val stopStarted = AtomicBoolean(false)
    private val listening = CountDownLatch(1)
    private val stopped = CountDownLatch(1)
    lateinit var logic: DaemonLogic
        private set

    @Volatile
    private var server: HttpServer? = null

    override val draining: Boolean get() = drainStarted.get()

    override val address: String
        get() = knownAddress() ?: error("the server does not listen yet")

    fun start(makeLogic: (DaemonContext) -> DaemonLogic) {
        logic = makeLogic(this)
        val endpoints = DaemonEndpoints(this)
        val started =
            startHttpServer(
                settings.host,
                settings.port,
                setup.limits,
                endpoints::isControl,
                endpoints::handle
            )
        server = started
        listening.countDown()
        bindDaemonMeters(meters, this, logic, started)
        membership.start(scope.child("membership"))
        sync.start(scope.child("configuration"))
        announcer.start(scope)
        if (setup.stopOnSignal) stopOnSignal()
        eventLog.record("started", null, "address" to address, "role" to setup.role)
    }

    override fun drain() {
        if (!drainStarted.compareAndSet(false, true)) return
        eventLog.record("drain_started", null, "open_work" to logic.openWork())
        // Not a daemon thread: the process must not end before its work does.
        thread(name = "drain") { Drain(this, logic, announcer).run() }
    }

    override fun awaitStopped() = stopped.await()

    override fun stop() {
        if (!stopStarted.compareAndSet(false, true)) return
        server?.stop()
        scope.close()
        listOf(peerClient, controlClient, externalClient).forEach(PeerClient::close)
        eventLog.record("stopped")
        stopped.countDown()
    }

    /** What the server of this process served so far. */
    fun traffic(): HttpTraffic? = server?.traffic

    /** Waits until the port is known; the first request can come before that. */
    fun awaitListening() = listening.await()

    fun describe(): InstanceDescription {
        val state = logic.state()
        return InstanceDescription(
            instance,
            setup.role,
            address,
            settings.availabilityZone,
            configuration.current.revision,
            state.ready,
            draining,
            state.holding,
            state.load
        )
    }

    fun describeAsked(address: String) = subscribers.asked(address, clock.nowMs())

    fun announced(description: InstanceDescription) = membership.announced(description)

    fun listForPeers(): PeerInstanceList = membership.listForPeers()

    fun scrapeMetrics(): String = meters.scrape()

    fun withAnswerHeaders(response: Response, toPeer: Boolean): Response {
        val answer = if (toPeer) protocol.withAnswerHeaders(response) else response
        return if (draining) answer.header(Headers.DRAINING, instance.value) else answer
    }

    fun handlerFailed(request: Request, cause: Throwable) {
        meters.counter("jacinthlink.handler.failures").increment()
        eventLog.record(
            "handler_failed",
            null,
            "method" to request.method,
            "path" to request.uri.path,
            "error" to "$cause",
            "at" to cause.stackTrace.firstOrNull()
        )
    }

    private fun knownAddress(): String? =
        settings.advertisedAddress ?: server?.let { "${settings.host}:${it.port}" }

    private fun newPeerClient(): PeerClient =
        ObservingPeerClient(
            peerClient(hasCallIds = true) { protocol.callHeaders(knownAddress()) }
        ) { from, headers ->
            protocol.observe(from, headers, sync, membership)
        }

    private fun membershipParts() =
        MembershipParts(
            self = {
                ListedInstance(instance, setup.role, address, settings.availabilityZone, draining)
            },
            platform = platform.instanceList,
            client = controlClient,
            seeds = settings.seeds,
            interest = setup.interest,
            rates = DescribeRates(),
            clock = clock,
            eventLog = eventLog
        )

    private fun newEditor() =
        KeyValueConfigurationEditor(
            platform.keyValue,
            configuration,
            setup.applyChange,
            ConfigurationConfirmation(
                configuration,
                configurationPeers,
                { instance },
                membership::listedPeers,
                clock
            ),
            eventLog
        )

    private fun stopOnSignal() =
        Runtime.getRuntime().addShutdownHook(
            Thread {
                drain()
                awaitStopped()
            }
        )
}

private fun newIncarnation(): String = "%08x".format(Random.nextInt())
