package org.jacinthlink.entry.calls

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Semaphore
import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.decision.claims.claimBucketOf
import org.jacinthlink.decision.claims.claimKey
import org.jacinthlink.decision.routing.RendezvousHash
import org.jacinthlink.entry.EntryContext
import org.jacinthlink.entry.heads.FailureHistory
import org.jacinthlink.entry.heads.LoadTable
import org.jacinthlink.runtime.membership.KnownInstance

/** Sidecars of plain services. */
internal class ServiceDirectory(private val context: EntryContext) {
    private val idempotentMethods = ConcurrentHashMap<String, Set<String>>()
    private val waitPermits = Semaphore(maxOf(1, context.limits.callThreads / 2))

    val loads = LoadTable()
    val failures = FailureHistory()

    fun start() =
        context.scope.repeat("service-loads", { REFRESH_MS }) {
            loads.refresh(
                context.membership.instances().filter { it.description.holding is Holding.Service }
            )
        }

    /** Methods of [service] that may be repeated; null if no instance ever offered it. */
    fun idempotentMethods(service: String): Set<String>? {
        val offered =
            sidecars(service).mapNotNull { (it.holding as? Holding.Service)?.idempotentMethods }
        if (offered.isNotEmpty()) {
            idempotentMethods[service] = offered.reduce { a, b -> a intersect b }
        }
        return idempotentMethods[service]
    }

    /**
     * Runs [wait], which waits for a sidecar with the thread of its call.
     *
     * Returns null at once if half of the threads wait already, so that a service without sidecars
     * does not hold up the calls of the others.
     */
    fun <T> waiting(wait: () -> T?): T? {
        if (!waitPermits.tryAcquire()) return null
        return try {
            wait()
        } finally {
            waitPermits.release()
        }
    }

    /** True once any sidecar is known, so that an unknown service is not due to a late start. */
    fun isFilled(): Boolean = context.membership.instances().any { it.description.holding != null }

    /**
     * Sidecars for [job] in the order of preference: by rendezvous hash of its claim bucket for a
     * keyed call, so that sidecars rarely write the same bucket; by least load for others.
     */
    fun ranked(job: CallJob): List<InstanceDescription> {
        val avoided = failures.avoided(context.clock.nowMs())
        return preferred(job, sidecars(job.call.service)).sortedBy { it.instance in avoided }
    }

    /** Sidecars for [job] that could not be reached lately, in the order of preference. */
    fun unreachable(job: CallJob): List<InstanceDescription> =
        preferred(job, context.membership.unreachable().ofService(job.call.service))

    private fun preferred(
        job: CallJob,
        offered: List<InstanceDescription>
    ): List<InstanceDescription> {
        val sidecars = offered.filter { it.ready }
        val key = job.key ?: return byLoad(sidecars)
        val byInstance = sidecars.associateBy { it.instance }
        val bucket =
            claimBucketOf(claimKey(job.call.workspace, key), context.limits.claimBuckets)
        return RendezvousHash.rank("${job.call.service}/$bucket", byInstance.keys)
            .map(byInstance::getValue)
    }

    private fun byLoad(sidecars: List<InstanceDescription>): List<InstanceDescription> =
        sidecars
            .shuffled()
            .sortedWith(
                compareBy({
                    work(it)
                }, { it.availabilityZone != context.availabilityZone })
            )

    private fun work(sidecar: InstanceDescription): Int {
        val load = loads[sidecar.instance]
        val report = load.report ?: return load.inFlight
        return load.inFlight + report.queuedRequests + report.runningStreams
    }

    private fun sidecars(service: String): List<InstanceDescription> =
        context.membership.instances().ofService(service)

    private fun List<KnownInstance>.ofService(service: String): List<InstanceDescription> =
        map { it.description }.filter { (it.holding as? Holding.Service)?.service == service }

    private companion object {
        const val REFRESH_MS = 500L
    }
}
