package org.jacinthlink.cli.admin

import java.time.Instant
import java.util.Locale
import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.entry.admin.ClassStatus
import org.jacinthlink.entry.admin.InstanceStatus
import org.jacinthlink.entry.admin.StatusAnswer
import org.jacinthlink.runtime.membership.MemberState

/** The system as an operator thinks of it: targets, revisions, models, zones, quarantine. */
internal fun renderStatus(status: StatusAnswer): String =
    buildString {
        appendLine(classRow("class", "target_ms", "worth", "ended", "within", "p95_ms", "refused"))
        status.classes.forEach { appendLine(classLine(it)) }
        appendLine()
        appendLine(revisions(status))
        status.models.forEach {
            val bound = "%.0f".format(Locale.ROOT, it.boundTokensPerSecond)
            appendLine(
                "model ${it.model}: bound $bound tokens/s, ${it.heads} heads, ${it.stages} stages"
            )
        }
        status.instances.groupBy { it.availabilityZone }.toSortedMap().forEach { (zone, all) ->
            appendLine("availability zone $zone: ${all.size} instances${states(all)}")
            all.sortedBy { it.instance.value }.forEach { appendLine("  ${line(it)}") }
        }
        status.quarantine.sortedBy { it.addedAtMs }.forEach {
            val since = Instant.ofEpochMilli(it.addedAtMs)
            appendLine("quarantined ${it.fingerprint} since $since: ${it.reason}")
        }
    }

private fun classLine(status: ClassStatus): String {
    val within = status.withinShare?.let { "%.1f%%".format(Locale.ROOT, it * PERCENT) } ?: "-"
    return classRow(
        status.workClass.name,
        status.workClass.targetMs,
        status.workClass.worth,
        status.ended,
        within,
        status.firstAnswerP95Ms ?: "-",
        status.refused
    )
}

private fun classRow(name: String, vararg cells: Any) =
    name.padEnd(NAME_WIDTH) + cells.joinToString("") { "$it".padStart(CELL_WIDTH) }

/** Revision in force, and the instances that are not known to have it. */
private fun revisions(status: StatusAnswer): String {
    val newest = status.instances.maxOfOrNull { revisionOf(it) } ?: status.revision
    val behind = status.instances.filter { revisionOf(it) < newest }
    val inForce = "${status.instances.size - behind.size} of ${status.instances.size}"
    val late = behind.joinToString("") { "\n  ${it.instance.value} has ${revisionOf(it)}" }
    return "revision $newest in force on $inForce instances$late"
}

private fun revisionOf(instance: InstanceStatus) = instance.description?.configurationRevision ?: -1

private fun states(instances: List<InstanceStatus>): String =
    instances.map { it.state }.filter { it != MemberState.AVAILABLE }.groupingBy { it }.eachCount()
        .toSortedMap().map { (state, count) -> ", $count ${text(state)}" }.joinToString("")

private fun line(status: InstanceStatus): String {
    val detail = status.description?.let(::detail) ?: "not described yet"
    return "${status.instance.value} ${text(status.state)}, $detail"
}

private fun detail(instance: InstanceDescription): String {
    val load = instance.load?.let { ", ${it.queuedRequests} queued, ${it.runningStreams} running" }
    return "${held(instance.holding)}${load.orEmpty()}, ${instance.address}"
}

private fun text(state: MemberState) =
    if (state == MemberState.AVAILABLE) "ready" else state.name.lowercase().replace('_', ' ')

private fun held(holding: Holding?): String =
    when (holding) {
        null -> "entry"
        is Holding.Stage ->
            "${holding.model} layers ${holding.firstLayer} to ${holding.endLayer - 1}"
        is Holding.Service -> "service ${holding.service}"
    }

private const val NAME_WIDTH = 24
private const val CELL_WIDTH = 12
private const val PERCENT = 100
