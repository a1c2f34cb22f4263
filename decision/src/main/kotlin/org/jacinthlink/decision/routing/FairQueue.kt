package org.jacinthlink.decision.routing

import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.WorkClass
import org.jacinthlink.api.WorkspaceId

/**
 * Queue that shares service fairly between classes and between the workspaces of a class.
 *
 * Each class has a virtual time that grows by its charged tokens divided by its worth. A class with
 * queued requests is within its share if its virtual time is at or below the worth-weighted mean of
 * all classes with queued requests. Of the classes within their share, the one with the shortest
 * target is served next. A class that becomes active again after a pause starts at that mean or
 * above, so that other classes can use an unused share but no class accumulates credit. Resumed
 * requests are served before all others and are charged like them.
 *
 * Not thread-safe.
 */
class FairQueue internal constructor(private var classes: Map<String, WorkClass>) {
    private val queues = HashMap<String, ClassQueue>()
    private val resumed = ArrayDeque<QueuedRequest>()
    private val expired = ArrayList<QueuedRequest>()
    private var meanVirtualTime = 0.0

    /** Number of queued requests. */
    val size: Int get() = queues.values.sumOf { it.size } + resumed.size

    /** Sum of [QueuedRequest.costTokens] over the queued requests. */
    val queuedTokens: Long
        get() = queues.values.sumOf { it.queuedTokens } + resumed.sumOf { it.costTokens.toLong() }

    /** Applies the configured [classes]. Requests of a removed class stay in the queue. */
    fun update(classes: Map<String, WorkClass>) {
        this.classes = classes
        queues.values.forEach { it.workClass = classOf(it.name) }
        queues.values.removeIf { !it.isActive && it.name !in classes }
    }

    fun offer(request: QueuedRequest) {
        if (request.resumed) {
            resumed.addLast(request)
            return
        }
        val queue = queueOf(request.workClass)
        if (!queue.isActive) activate(queue)
        queue.offer(request)
    }

    /**
     * Removes and returns the next request to run and charges its cost; null if no queued request
     * is within its deadline.
     */
    fun poll(nowMs: Long): QueuedRequest? =
        chargeCost(pollResumed(nowMs) ?: pollByShare(nowMs) { true })

    /**
     * Like [poll], for use while at least [slots] requests run. Only these are eligible: resumed
     * requests, requests of classes that have fewer [running] requests than their share of the
     * slots by worth, and requests of workspaces that have fewer running requests than an even
     * share of the slots of their class. Other classes and workspaces use the slots that belong to
     * these shares, and free them only when their requests end.
     */
    fun pollBelowShare(nowMs: Long, running: RunningCounts, slots: Int): QueuedRequest? {
        val shares = slotShares(running, slots)
        val next =
            pollResumed(nowMs)
                ?: pollByShare(nowMs) { running.of(it.name) < shares.getValue(it.name) }
                ?: pollWorkspaceBelowShare(nowMs, running, shares)
        return chargeCost(next)
    }

    /** Charges [tokens] to the class and workspace of [request]; a negative number is a refund. */
    fun charge(request: QueuedRequest, tokens: Int) {
        val queue = queueOf(request.workClass)
        queue.virtualTime += tokens.toDouble() / queue.workClass.worth.coerceAtLeast(1)
        queue.charge(request.workspace, tokens.toDouble())
    }

    /**
     * Removes and returns the request [id], for example because its client has disconnected; null
     * if it is not queued.
     */
    fun remove(id: StreamKey): QueuedRequest? {
        resumed.firstOrNull { it.id == id }?.let {
            resumed.remove(it)
            return it
        }
        return queues.values.firstNotNullOfOrNull { queue ->
            queue.removeAll { it.id == id }.firstOrNull()
        }
    }

    /** Removes and returns all requests whose deadline has passed. [poll] never returns them. */
    fun takeExpired(nowMs: Long): List<QueuedRequest> {
        val isExpired = { request: QueuedRequest -> request.deadlineAtMs < nowMs }
        val found = expired + resumed.filter(isExpired) + queues.values.flatMap {
            it.removeAll(selected = isExpired)
        }
        expired.clear()
        resumed.removeAll(isExpired)
        return found
    }

    /** Counts of queued work that [Admission] compares with its limits. */
    fun occupancy(workClass: String, workspace: WorkspaceId): QueueOccupancy {
        val queue = queues[workClass]
        return QueueOccupancy(
            classRequests = queue?.size ?: 0,
            classTokens = queue?.queuedTokens ?: 0,
            workspaceRequests = queue?.queuedCountOf(workspace) ?: 0,
            activeWorkspaces = queue?.activeWorkspaces ?: 0
        )
    }

    /**
     * Upper bound of the number of tokens that are served before a new request of [workspace] in
     * [workClass].
     */
    fun tokensAhead(workClass: String, workspace: WorkspaceId): Double {
        val resumedTokens = resumed.sumOf { it.costTokens.toDouble() }
        val own = queues[workClass]?.tokensAhead(workspace) ?: 0.0
        val others = queues.values.filter { it.isActive && it.name != workClass }
        val ownWorth = classOf(workClass).worth.coerceAtLeast(1)
        val worth = ownWorth + others.sumOf { it.workClass.worth.coerceAtLeast(1) }
        val atOwnShare = own * worth / ownWorth
        return resumedTokens + minOf(atOwnShare, own + others.sumOf { it.queuedTokens })
    }

    private fun pollResumed(nowMs: Long): QueuedRequest? {
        while (resumed.isNotEmpty()) {
            val request = resumed.removeFirst()
            if (request.deadlineAtMs >= nowMs) return request
            expired += request
        }
        return null
    }

    private fun slotShares(running: RunningCounts, slots: Int): Map<String, Double> {
        val waiting = queues.values.filter { it.isActive }.map { it.name }
        val worths =
            (running.classes + waiting).associateWith { classOf(it).worth.coerceAtLeast(1) }
        return worths.mapValues { slots.toDouble() * it.value / worths.values.sum() }
    }

    private fun pollWorkspaceBelowShare(
        nowMs: Long,
        running: RunningCounts,
        shares: Map<String, Double>
    ): QueuedRequest? =
        queues.values
            .filter { it.isActive }
            .sortedWith(URGENT_FIRST)
            .firstNotNullOfOrNull { queue ->
                val workspaces = queue.activeWorkspaceIds + running.workspaces(queue.name)
                val share = shares.getValue(queue.name) / workspaces.size
                queue.poll(nowMs, expired) { running.of(queue.name, it) < share }
            }

    private fun chargeCost(next: QueuedRequest?): QueuedRequest? =
        next?.also { charge(it, it.costTokens) }

    private fun pollByShare(nowMs: Long, isEligible: (ClassQueue) -> Boolean): QueuedRequest? {
        while (true) {
            val queue = nextQueue(isEligible) ?: return null
            queue.poll(nowMs, expired) { true }?.let { return it }
        }
    }

    private fun nextQueue(isEligible: (ClassQueue) -> Boolean): ClassQueue? {
        val active = queues.values.filter { it.isActive }
        if (active.isEmpty()) return null
        meanVirtualTime = meanOf(active)
        val eligible = active.filter(isEligible)
        val withinShare = eligible.filter { it.virtualTime <= meanVirtualTime }
        return withinShare.minWithOrNull(URGENT_FIRST) ?: eligible.minByOrNull { it.virtualTime }
    }

    private fun activate(queue: ClassQueue) {
        val active = queues.values.filter { it.isActive }
        if (active.isNotEmpty()) meanVirtualTime = meanOf(active)
        queue.virtualTime = maxOf(queue.virtualTime, meanVirtualTime)
    }

    private fun meanOf(active: List<ClassQueue>): Double {
        val worths = active.map { it.workClass.worth.coerceAtLeast(1) }
        return active.zip(worths).sumOf { (queue, worth) -> queue.virtualTime * worth } /
            worths.sum()
    }

    private fun queueOf(name: String) = queues.getOrPut(name) { ClassQueue(name, classOf(name)) }

    private fun classOf(name: String): WorkClass =
        classes[name] ?: WorkClass(name, targetMs = Long.MAX_VALUE, worth = 1)

    private companion object {
        val URGENT_FIRST: Comparator<ClassQueue> =
            compareBy({ it.workClass.targetMs }, { -it.workClass.worth }, { it.name })
    }
}

/** Creates an empty queue for [classes] by name. */
fun fairQueue(classes: Map<String, WorkClass>): FairQueue = FairQueue(classes)
