package org.jacinthlink.entry.heads

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceId
import org.jacinthlink.decision.routing.FlowPlan
import org.jacinthlink.decision.routing.FlowStage
import org.jacinthlink.decision.routing.HeadCandidate
import org.jacinthlink.decision.routing.headSelector
import org.jacinthlink.entry.EntryContext

/** Chooses heads of models by the membership and their loads. */
internal class HeadDirectory(private val context: EntryContext) {
    private val selector =
        headSelector(context.settings.daemon.schedulingPolicy, context.availabilityZone)
    private val prober = LoadProber(context, this)
    private val knownModels = ConcurrentHashMap.newKeySet<String>()
    private val changed = AtomicBoolean(true)

    // The membership's state is read on each choice; only plans and subsets lag behind it.
    @Volatile
    private var view = FleetView(emptyList(), context.instance, context.availabilityZone)

    val loads = LoadTable()
    val failures = FailureHistory()

    fun start() {
        context.membership.addListener { changed.set(true) }
        context.scope.repeat("fleet-view", { REFRESH_MS }, ::refresh)
    }

    /** False if no instance ever held a part of [model]. */
    fun isKnown(model: String): Boolean {
        if (model !in knownModels) refresh()
        return model in knownModels
    }

    /** Picks a head of [model]; null if none is left. */
    fun choose(model: String, excluded: Set<InstanceId>, nowMs: Long): FlowStage? {
        if (changed.get()) refresh()
        val heads = view.headsOf(model)
        val candidates = heads.map(::candidate)
        val avoided = excluded + failures.avoided(nowMs)
        val chosen =
            selector.choose(candidates, avoided, nowMs, Random.Default)
                ?: selector.choose(candidates, excluded, nowMs, Random.Default)
                ?: return null
        prober.probeOldest(heads.filter { it.instance !in excluded }, nowMs)
        return heads.first { it.instance == chosen.instance }
    }

    /** Flow plans of all models. */
    fun plans(): Map<String, FlowPlan> {
        if (changed.get()) refresh()
        return view.plans
    }

    /** Finds out on a fresh connection whether [head], which fell silent, is alive. */
    fun suspect(head: FlowStage) = prober.verify(head)

    @Synchronized
    private fun refresh() {
        val instances = context.membership.instances()
        if (changed.compareAndSet(true, false)) {
            view = FleetView(instances, context.instance, context.availabilityZone)
        }
        instances.forEach { known ->
            (known.description.holding as? Holding.Stage)?.let { knownModels += it.model }
        }
        loads.refresh(instances)
    }

    private fun candidate(head: FlowStage): HeadCandidate {
        val load = loads[head.instance]
        val flow = view.plans[head.holding.model]?.flowOf(head.instance) ?: 0.0
        return HeadCandidate(
            head.instance,
            head.availabilityZone,
            if (flow > 0) flow else head.holding.tokensPerSecond,
            load.report,
            load.reportedAtMs,
            load.inFlight,
            load.sentSinceReport
        )
    }

    private companion object {
        const val REFRESH_MS = 500L
    }
}
