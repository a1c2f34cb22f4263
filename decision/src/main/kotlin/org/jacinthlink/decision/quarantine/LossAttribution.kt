package org.jacinthlink.decision.quarantine

/**
 * Finds the contents that end the servers that begin to answer them.
 *
 * Load pattern: one content ends one server after the other. Each time, the streams of the lost
 * path move to the others, so many harmless requests wait on the next server that is lost. A
 * content is harmful if servers were lost with it again and again and none has begun it since.
 * Servers that are lost at the same moment count once, because a failure of power or network ends
 * many together.
 *
 * The content with the most losses is taken first, and its losses count against no other one, so
 * that those that only waited beside it are not rejected. Of two parts with the same losses, the
 * later one in the prompt is taken, because fewer requests share it.
 *
 * @return The harmful contents with the time of their latest loss.
 */
fun harmfulContents(
    losses: Collection<ServerLoss>,
    begun: BegunContents,
    nowMs: Long,
    limits: QuarantineLimits = QuarantineLimits()
): Map<ContentId, Long> {
    val harmful = LinkedHashMap<ContentId, Long>()
    var unexplained = losses.toList()
    while (true) {
        val cases = partCases(unexplained, begun).filter { isHarmfulPart(it, begun, nowMs, limits) }
        val worst = cases.maxWithOrNull(caseOrder) ?: break
        harmful[worst.id] = worst.lastAtMs
        unexplained = unexplained - worst.losses.toSet()
    }
    wholeCases(unexplained, begun).filter { isHarmfulWhole(it, limits) }
        .forEach { harmful[it.id] = it.lastAtMs }
    return harmful
}

/** The [losses] with content [id] as a suspect; [position] is its latest one in a prompt. */
private class Case(val id: ContentId, val position: Int, val losses: List<ServerLoss>) {
    val lastAtMs: Long get() = losses.maxOf { it.atMs }

    /** Number of losses, where those of the same moment count once. */
    fun momentCount(momentMs: Long): Int {
        var count = 0
        var counted: ServerLoss? = null
        for (loss in losses.sortedBy { it.atMs }) {
            if (counted != null && isSameMoment(counted, loss, momentMs)) continue
            counted = loss
            count++
        }
        return count
    }

    /** Number of different requests with the content. */
    val requestCount: Int
        get() = losses.flatMap { loss -> loss.suspects.filter { id in it.parts } }
            .distinctBy { it.whole }.size
}

/** A request that waited at both losses was sent to the second server after the first loss. */
private fun isSameMoment(first: ServerLoss, second: ServerLoss, momentMs: Long): Boolean =
    second.atMs - first.atMs < momentMs && first.suspects.none { it in second.suspects }

private val caseOrder =
    compareBy<Case>({ it.losses.size }, { it.position }).thenBy { it.id.hash }

private fun partCases(losses: List<ServerLoss>, begun: BegunContents): List<Case> {
    val positions = HashMap<ContentId, Int>()
    val lossesById = HashMap<ContentId, LinkedHashSet<ServerLoss>>()
    for (loss in losses) {
        for ((position, id) in loss.suspects.flatMap { it.parts.withIndex() }) {
            if (begun.isBegunAfter(id, loss.atMs)) continue
            positions.merge(id, position, ::maxOf)
            lossesById.getOrPut(id) { LinkedHashSet() }.add(loss)
        }
    }
    return lossesById.map { (id, against) -> Case(id, positions.getValue(id), against.toList()) }
}

private fun wholeCases(losses: List<ServerLoss>, begun: BegunContents): List<Case> =
    losses.flatMap { loss -> loss.suspects.map { it.whole to loss } }
        .filter { (whole, _) -> whole !in begun.atMs }
        .groupBy({ it.first }, { it.second })
        .map { (whole, against) -> Case(whole, 0, against) }

private fun isHarmfulPart(
    case: Case,
    begun: BegunContents,
    nowMs: Long,
    limits: QuarantineLimits
): Boolean {
    val begunAtMs = begun.atMs[case.id]
    val losses = case.momentCount(limits.momentMs)
    if (begunAtMs == null) {
        return losses >= limits.partLosses && case.requestCount >= limits.partRequests
    }
    // In an outage nothing is begun, so a content that was begun before is no suspect then.
    val othersBegunAtMs = begun.newestAtMs ?: return false
    return losses >= limits.begunPartLosses &&
        case.requestCount >= limits.begunPartRequests &&
        nowMs - begunAtMs >= limits.begunPartQuietMs &&
        othersBegunAtMs > case.lastAtMs
}

private fun isHarmfulWhole(case: Case, limits: QuarantineLimits): Boolean =
    case.losses.size >= limits.wholeLosses ||
        case.losses.size >= limits.soleWholeLosses &&
        case.losses.all { it.suspects.size == 1 }
