package org.jacinthlink.sidecar.stage

import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicBoolean
import org.http4k.core.HttpHandler
import org.jacinthlink.api.LoadReport
import org.jacinthlink.api.RouteStage
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.decision.routing.admission
import org.jacinthlink.decision.routing.fairQueue
import org.jacinthlink.runtime.supervision.IdleGate

/** The stage of one sidecar, and the head of its pipelines if it holds the first layers. */
internal class StageDaemon(
    private val parts: StageParts,
    private val runner: StageRunner,
    private val engine: EngineGuard,
    private val head: StageHead?
) {
    val handler: HttpHandler =
        stageRoutes(runner, head?.head) { it.forEach(parts.membership::probe) }

    /** False while the engine is away or frozen, so that no head starts a stream here. */
    val ready: Boolean
        get() = engine.isServing(parts.clock.nowMs(), parts.headLimits.stepStallMs)

    /** Starts the batch loops and the timers. */
    fun start() {
        repeat(parts.stageLimits.engineSteps) { parts.scope.run("batch-loop-$it", runner::runLoop) }
        parts.scope.repeat("idle-streams", { parts.stageLimits.idleStreamMs / 4 }) {
            runner.releaseIdle(parts.clock.nowMs())
        }
        val head = head ?: return
        val tickGate = IdleGate { head.head.openStreams > 0 }
        val watchdogGate = IdleGate { head.head.openStreams > 0 }
        head.head.onOpened = {
            tickGate.workArrived()
            watchdogGate.workArrived()
        }
        parts.scope.repeat("head", { TICK_MS }) {
            tickGate.pass()
            head.head.tick(parts.clock.nowMs())
        }
        parts.scope.repeat("watchdog", { TICK_MS }) {
            watchdogGate.pass()
            head.watchdog.tick(parts.clock.nowMs())
        }
    }

    fun drain() {
        head?.head?.drain()
    }

    fun load(): LoadReport =
        head?.head?.load()
            ?: LoadReport(
                runningStreams = runner.streamCount,
                reportedAtMs = parts.clock.nowMs()
            )

    fun openWork(): Int = maxOf(head?.head?.openStreams ?: 0, runner.streamCount)

    private companion object {
        const val TICK_MS = 50L
    }
}

/** A head and its watchdog. */
internal class StageHead(val head: Head, val watchdog: Watchdog)

/** Assembles a stage; [StageDaemon.start] sets it to work. */
internal fun stageDaemon(parts: StageParts): StageDaemon {
    val executor = workers(parts)
    val holding = parts.holding
    val engine = engineGuard(parts)
    val peers = StagePeers(parts.client, parts.stageLimits.acknowledgeTimeoutMs)
    val self = RouteStage(parts.instance, parts.address, holding.firstLayer, holding.endLayer)
    val runner =
        StageRunner(self, engine, peers, executor, parts.clock, parts.events, parts.stageLimits)
    // Listeners cannot be removed, and outlive a stage whose runner changed its layers.
    val isOpen = AtomicBoolean(true)
    parts.scope.onClose { isOpen.set(false) }
    runner.classesChanged(parts.configuration.current.classes)
    parts.configuration.addListener { if (isOpen.get()) runner.classesChanged(it.classes) }
    val head =
        if (holding.isHead) stageHead(parts, engine, runner, peers, executor, isOpen) else null
    return StageDaemon(parts, runner, engine, head)
}

private fun engineGuard(parts: StageParts): EngineGuard =
    EngineGuard(
        parts.engine,
        parts.loadEngine,
        parts.clock,
        parts.events,
        parts.holding.tokensPerSecond
    )

private fun stageHead(
    parts: StageParts,
    engine: EngineGuard,
    runner: StageRunner,
    peers: StagePeers,
    executor: ExecutorService,
    isOpen: AtomicBoolean
): StageHead {
    val self =
        FlowStage(parts.instance, parts.address, parts.availabilityZone, parts.holding)
    val registry = registry(parts)
    val head =
        Head(
            self = self,
            registry = registry,
            routes = RouteBook(self, parts.membership, registry.bound::reset),
            runner = runner,
            releases = ReleaseOutbox(peers, executor),
            executor = executor,
            clock = parts.clock,
            events = parts.events,
            limits = parts.headLimits
        )
    val notices = FailureNotices(self, parts.membership, peers, executor, parts.clock)
    val rerouter = Rerouter(runner, peers)
    val failover =
        Failover(head, parts.instance, rerouter, executor, parts.clock, parts.events)
    val watchdog =
        Watchdog(
            head,
            parts.instance,
            runner,
            peers,
            failover,
            notices,
            executor,
            parts.events,
            parts.headLimits
        )
    runner.localHead = head
    head.ready = engine::ready
    head.onStageFailed = { key, fault ->
        val stages = setOf(fault.stage)
        notices.report(stages)
        // A stage that reports itself has lost its streams.
        val lost = if (fault.reporter == fault.stage) stages else emptySet()
        failover.begin(key, stages, lost)
    }
    parts.membership.addListener { if (isOpen.get()) head.routesChanged() }
    parts.configuration.addListener { if (isOpen.get()) head.classesChanged(it.classes) }
    return StageHead(head, watchdog)
}

private fun registry(parts: StageParts): HeadRegistry {
    val classes = parts.configuration.current.classes
    return HeadRegistry(
        fairQueue(classes),
        admission(policy = parts.policy),
        // Until it is measured: a prompt takes about half of the tokens of a request.
        ServiceRate(parts.holding.tokensPerSecond / 2),
        RunningBound(parts.headLimits.maxRunningStreams, classes),
        parts.policy
    )
}

private fun workers(parts: StageParts): ExecutorService {
    val executor =
        Executors.newCachedThreadPool { task ->
            Thread(task, "stage-worker").apply { isDaemon = true }
        }
    parts.scope.onClose { executor.shutdownNow() }
    return executor
}
