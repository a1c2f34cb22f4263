package org.jacinthlink.router.soak

import kotlin.random.Random
import org.jacinthlink.router.standins.EngineStandIn
import org.jacinthlink.router.standins.EngineStandIn.Script
import org.jacinthlink.standins.ProxyDirection
import org.jacinthlink.standins.ProxyFaults

/** A fault that is injected from outside the routers; a failed test prints its faults. */
internal sealed interface SoakFault {
    /** A fault of the process of a router. */
    sealed interface OfRouter : SoakFault {
        val router: Int
    }

    data class RouterKilled(override val router: Int) : OfRouter

    data class RouterSuspended(override val router: Int) : OfRouter

    data class RouterStopped(override val router: Int) : OfRouter

    /** No fault: what a sound server does. */
    sealed interface OfSoundServer : SoakFault {
        val server: String
    }

    /** A server drains, goes on serving, and leaves; another one takes its place. */
    data class ServerLeaves(override val server: String) : OfSoundServer

    /** A server answers nothing and goes on. */
    data class ServerSilent(override val server: String) : OfSoundServer

    data object StoreRefuses : SoakFault

    data class StoreSlow(val router: Int) : SoakFault

    data class StoreCutOneWay(val router: Int, val direction: ProxyDirection) : SoakFault

    data class ConnectionsReset(val server: String) : SoakFault

    data class ConnectionsStalled(val server: String) : SoakFault

    data class ServerUnresponsive(val server: String) : SoakFault

    data class ServerDelayed(val server: String) : SoakFault

    data class ServerScripted(val server: String, val script: Script) : SoakFault

    data class ServerDrains(val server: String) : SoakFault

    /** A server in a process of its own is stopped and goes on. */
    data class ServerSuspended(val server: String) : SoakFault

    data object ConfigurationWritten : SoakFault
}

/** A fault that begins [atMs] after the start of the test's faults and lasts for [durationMs]. */
internal data class PlannedFault(val fault: SoakFault, val atMs: Long, val durationMs: Long)

/**
 * Plans the faults of a seed: several in each second, one after the other and overlapping.
 *
 * The first router is never killed, suspended or stopped, and the first engine and the first plain
 * server get no faults, so that requests can always be served.
 */
internal fun planFaults(seed: Int, site: SoakSite, lengthMs: Long): List<PlannedFault> {
    val random = Random(seed)
    val engines = site.engines.drop(1).map { it.instanceId }
    // Half of the server faults affect a plain server, some of whose requests may run only once.
    val servers = engines + List(engines.size) { site.plainServers.last().instanceId }
    return generateSequence(random.nextLong(MAX_GAP_MS)) { it + random.nextLong(MAX_GAP_MS) }
        .takeWhile { it < lengthMs }
        .map { atMs ->
            val fault = randomFault(random, servers, engines, site.routers.size)
            PlannedFault(fault, atMs, random.nextLong(MIN_DURATION_MS, MAX_DURATION_MS))
        }
        .toList()
}

/** Plans the faults of the servers that stutter, beside those of [planFaults]. */
internal fun planStutteringFaults(seed: Int, site: SoakSite, lengthMs: Long): List<PlannedFault> {
    val random = Random(seed)
    return generateSequence(random.nextLong(MAX_STUTTERING_GAP_MS)) {
        it + random.nextLong(MAX_STUTTERING_GAP_MS)
    }
        .takeWhile { it < lengthMs }
        .map { atMs ->
            val server = site.stutteringServers.random(random).instanceId
            val fault = when (random.nextInt(STUTTERING_FAULT_KINDS)) {
                0 -> SoakFault.ServerSuspended(server)
                1 -> SoakFault.ConnectionsReset(server)
                else -> SoakFault.ServerDelayed(server)
            }
            PlannedFault(fault, atMs, random.nextLong(MIN_DURATION_MS, MAX_STUTTERING_DURATION_MS))
        }
        .toList()
}

private fun randomFault(
    random: Random,
    servers: List<String>,
    engines: List<String>,
    routerCount: Int
): SoakFault {
    val router = random.nextInt(1, routerCount)
    return when (random.nextInt(FAULT_KINDS)) {
        0 -> SoakFault.RouterKilled(router)
        1 -> SoakFault.RouterSuspended(router)
        2 -> SoakFault.RouterStopped(router)
        3 -> SoakFault.StoreRefuses
        4 -> SoakFault.StoreSlow(router)
        5 -> SoakFault.StoreCutOneWay(router, ProxyDirection.entries.random(random))
        6 -> SoakFault.ConnectionsReset(servers.random(random))
        7 -> SoakFault.ConnectionsStalled(servers.random(random))
        8 -> SoakFault.ServerUnresponsive(engines.random(random))
        9 -> SoakFault.ServerDelayed(servers.random(random))
        10 -> SoakFault.ServerDrains(servers.random(random))
        11 -> SoakFault.ConfigurationWritten
        else -> SoakFault.ServerScripted(servers.random(random), scripts.random(random))
    }
}

/** Injects [planned] for its duration. */
internal fun SoakSite.inject(planned: PlannedFault) {
    val actions = actionsOf(planned)
    actions.begin()
    Thread.sleep(planned.durationMs)
    actions.end()
}

/** Actions that begin and end a fault. */
private class FaultActions(val begin: () -> Unit, val end: () -> Unit = {})

private fun SoakSite.actionsOf(planned: PlannedFault): FaultActions =
    when (val fault = planned.fault) {
        is SoakFault.OfRouter -> actionsOf(fault, routers[fault.router])
        is SoakFault.OfSoundServer -> actionsOf(fault, server(fault.server), planned.durationMs)
        SoakFault.StoreRefuses -> FaultActions({ store.isUnavailable = true }, {
            store.isUnavailable =
                false
        })
        is SoakFault.StoreSlow ->
            proxied(storeListener(fault.router), ProxyFaults(delayMs = SLOW_STORE_MS))
        is SoakFault.StoreCutOneWay ->
            proxied(storeListener(fault.router), ProxyFaults(hold = fault.direction))
        is SoakFault.ConnectionsReset -> FaultActions({ proxy.cutAll(fault.server) })
        is SoakFault.ConnectionsStalled -> FaultActions({ proxy.silenceExisting(fault.server) })
        is SoakFault.ServerDelayed -> proxied(fault.server, ProxyFaults(delayMs = SLOW_SERVER_MS))
        is SoakFault.ServerUnresponsive -> unresponsive(server(fault.server))
        is SoakFault.ServerScripted -> scripted(server(fault.server), fault.script)
        is SoakFault.ServerDrains -> draining(server(fault.server))
        is SoakFault.ServerSuspended -> suspended(fault.server)
        SoakFault.ConfigurationWritten -> FaultActions(::configure)
    }

private fun actionsOf(fault: SoakFault.OfRouter, router: RouterProcess): FaultActions =
    when (fault) {
        is SoakFault.RouterKilled -> FaultActions(router::kill, router::start)
        is SoakFault.RouterSuspended ->
            FaultActions(router::suspendProcess, router::resumeProcess)
        is SoakFault.RouterStopped -> FaultActions(router::terminate, router::start)
    }

private fun SoakSite.actionsOf(
    fault: SoakFault.OfSoundServer,
    server: EngineStandIn,
    durationMs: Long
): FaultActions =
    when (fault) {
        is SoakFault.ServerLeaves -> leaving(server)
        is SoakFault.ServerSilent -> FaultActions({ server.fallSilent(durationMs) })
    }

private fun SoakSite.suspended(instanceId: String): FaultActions {
    val server = stutteringServers.first { it.instanceId == instanceId }
    return FaultActions(server::suspendProcess, server::resumeProcess)
}

private fun SoakSite.proxied(listener: String, faults: ProxyFaults) =
    FaultActions(
        { proxy.setFaults(listener, faults) },
        { proxy.setFaults(listener, ProxyFaults()) }
    )

private fun SoakSite.unresponsive(server: EngineStandIn) =
    FaultActions(
        { setUnresponsive(server, ProxyFaults(hold = ProxyDirection.TO_CLIENT)) },
        { setUnresponsive(server, ProxyFaults()) }
    )

private fun scripted(server: EngineStandIn, script: Script) =
    FaultActions({ server.script = script }, { server.script = Script.Serve })

private fun SoakSite.draining(server: EngineStandIn) =
    FaultActions({ register(server, "draining") }, { register(server) })

private fun SoakSite.leaving(server: EngineStandIn) =
    FaultActions({ register(server, "draining") }, {
        leave(server)
        proxy.cutAll(server.instanceId)
        Thread.sleep(AWAY_MS)
        server.beginAnew()
        register(server)
    })

/** Ends all faults, because overlapping faults may leave some of them in effect. */
internal fun SoakSite.endAllFaults() {
    store.isUnavailable = false
    routers.forEach {
        it.resumeProcess()
        it.start()
    }
    stutteringServers.forEach {
        it.resumeProcess()
        proxy.setFaults(it.instanceId, ProxyFaults())
    }
    routers.indices.forEach { proxy.setFaults(storeListener(it), ProxyFaults()) }
    (engines + plainServers).forEach {
        it.script = Script.Serve
        setUnresponsive(it, ProxyFaults())
        register(it)
    }
}

private fun SoakSite.server(instanceId: String): EngineStandIn =
    (engines + plainServers).first { it.instanceId == instanceId }

private val scripts =
    listOf(
        Script.Cut(3),
        Script.Stalled(5),
        Script.LoseResponse,
        Script.Fail,
        Script.Rejecting,
        Script.ChangingLayers
    )

/** Upper limit of the time between the starts of two consecutive faults. */
private const val MAX_GAP_MS = 700L
private const val MIN_DURATION_MS = 100L
private const val MAX_DURATION_MS = 2_500L

/** Number of equally likely cases; two of them are [SoakFault.ServerScripted]. */
private const val FAULT_KINDS = 14

/** Time between the end of a server and the entry of the one that takes its place. */
private const val AWAY_MS = 300L
private const val MAX_STUTTERING_GAP_MS = 3_000L
private const val MAX_STUTTERING_DURATION_MS = 900L
private const val STUTTERING_FAULT_KINDS = 3
private const val SLOW_STORE_MS = 150.0
private const val SLOW_SERVER_MS = 60.0
