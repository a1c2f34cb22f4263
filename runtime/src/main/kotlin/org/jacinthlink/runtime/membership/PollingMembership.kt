package org.jacinthlink.runtime.membership

import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import kotlin.random.Random
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.InstanceList
import org.jacinthlink.api.ListedInstance
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.decodeOrNull
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.events.EventLog
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.supervision.Scope

/**
 * What membership is made of.
 *
 * @property self This process as peers are told of it.
 * @property seeds Addresses of peers to ask for the list if the platform is down at the start.
 * @property interest Restricts descriptions to the instances that this process needs.
 */
internal class MembershipParts(
    val self: () -> ListedInstance,
    val platform: InstanceList,
    val client: PeerClient,
    val seeds: List<String>,
    val interest: (ListedInstance) -> Boolean,
    val rates: DescribeRates,
    val clock: Clock,
    val eventLog: EventLog,
    val random: Random = Random.Default
)

/** Membership from polls of the instance list and descriptions of the listed instances. */
internal class PollingMembership(private val parts: MembershipParts) : Membership {
    private val table = MembershipTable(parts.interest, parts.rates, parts.random)
    private val reader =
        ListReader(parts.platform, parts.client, parts.eventLog, parts.clock, parts.random)
    private val listeners = CopyOnWriteArrayList<() -> Unit>()

    /** Begins to poll in [scope]. */
    fun start(scope: Scope) {
        val workers = Executors.newFixedThreadPool(DESCRIBE_THREADS, ::daemonThread)
        scope.onClose { workers.shutdownNow() }
        scope.repeat("list", { reader.intervalMs(table.listed().size) }, ::readList)
        scope.repeat("describe", { DESCRIBE_TICK_MS }) { describeDue(workers) }
    }

    override fun instances(): List<KnownInstance> = table.available()

    override fun unreachable(): List<KnownInstance> = table.unreachable()

    override fun members(): List<KnownMember> = table.members()

    override val isComplete: Boolean get() = table.isComplete()

    override fun reportUnreachable(instance: InstanceId) =
        excluded(instance, "unreachable", table.reportUnreachable(instance, nowMs()))

    override fun reportDraining(instance: InstanceId) =
        excluded(instance, "draining", table.reportDraining(instance, nowMs()))

    override fun probe(instance: InstanceId) = table.probe(instance, nowMs())

    override fun addListener(listener: () -> Unit) {
        listeners += listener
    }

    /** All listed instances but this one that are not leaving. */
    fun listedPeers(): List<ListedInstance> = table.listed().filter { !it.leaving }

    /** Addresses of peers that a call may reach; the seeds, if none is known. */
    fun peerAddresses(): List<String> =
        table.reachable().map { it.address }.ifEmpty { seeds() }

    /** Takes a description that a peer sent by itself. */
    fun announced(description: InstanceDescription) =
        notifyIf(table.announced(description, nowMs()))

    /** The list for peers that cannot read it themselves. */
    fun listForPeers(): PeerInstanceList =
        PeerInstanceList(reader.ageMs(), table.listed() + parts.self())

    private fun readList() {
        val list = reader.read(peerAddresses()) ?: return
        val own = parts.self()
        val others =
            list.filter { !isListedAs(it.instance, own.instance) && it.address != own.address }
        notifyIf(table.applyList(others))
    }

    private fun describeDue(workers: ExecutorService) =
        table.takeDue(nowMs()).forEach { listed -> workers.execute { describe(listed) } }

    private fun describe(listed: ListedInstance) {
        val askedAtMs = nowMs()
        val call = PeerCall("GET", "http://${listed.address}/v1/describe")
        val result = callSafely(call)
        val description = (result as? PeerResult.Answered)?.let(::decode)
        val changed =
            if (description == null) {
                val surelyDown = result is PeerResult.NotSent
                table.describeFailed(listed.instance, surelyDown, nowMs())
            } else {
                table.described(listed.instance, description, askedAtMs, nowMs())
            }
        notifyIf(changed)
    }

    /** A listed address can be malformed, which the client reports by an exception. */
    private fun callSafely(call: PeerCall): PeerResult =
        try {
            parts.client.call(call, DESCRIBE_TIMEOUT_MS)
        } catch (e: IllegalArgumentException) {
            PeerResult.NotSent("$e")
        }

    private fun decode(answer: PeerResult.Answered): InstanceDescription? =
        answer
            .takeIf { it.isSuccess }
            ?.let { ProtocolJson.decodeOrNull(InstanceDescription.serializer(), it.body) }

    private fun excluded(instance: InstanceId, reason: String, changed: Boolean) {
        if (!changed) return
        parts.eventLog.record(
            "instance_excluded",
            null,
            "excluded" to instance.value,
            "reason" to reason
        )
        notifyIf(true)
    }

    private fun notifyIf(changed: Boolean) {
        if (changed) listeners.forEach(::notifySafely)
    }

    private fun notifySafely(listener: () -> Unit) {
        try {
            listener()
        } catch (e: Exception) {
            parts.eventLog.record("listener_failed", null, "error" to "$e")
        }
    }

    private fun seeds() = parts.seeds.filter { it != parts.self().address }

    private fun nowMs() = parts.clock.nowMs()

    private companion object {
        const val DESCRIBE_TICK_MS = 200L
        const val DESCRIBE_TIMEOUT_MS = 1_000L

        // A silent instance holds a thread for the timeout; probes of a whole silent zone of 75
        // instances at their longest delay need 5.
        const val DESCRIBE_THREADS = 8
    }
}

private fun daemonThread(task: Runnable) =
    Thread(task, "membership-describe").apply { isDaemon = true }
