package org.jacinthlink.cli.admin

import org.jacinthlink.api.Configuration
import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.entry.admin.StatusAnswer

/** The fleet as an operator thinks of it: classes, models, then instances by zone. */
internal fun renderStatus(status: StatusAnswer, configuration: Configuration): String =
    buildString {
        append(ClassListCommand.render(configuration))
        appendLine()
        status.models.forEach {
            val bound = "%.0f".format(it.boundTokensPerSecond)
            appendLine(
                "model ${it.model}: bound $bound tokens/s, ${it.heads} heads, ${it.stages} stages"
            )
        }
        status.instances
            .map { it.description }
            .groupBy { it.availabilityZone }
            .toSortedMap()
            .forEach { (zone, instances) ->
                appendLine("availability zone $zone")
                instances.sortedBy { it.instance.value }.forEach { appendLine("  ${line(it)}") }
            }
        configuration.quarantine.keys.sorted().forEach { appendLine("quarantined $it") }
    }

private fun line(instance: InstanceDescription): String {
    val state =
        when {
            instance.draining -> "draining"
            instance.ready -> "ready"
            else -> "not ready"
        }
    val load = instance.load?.let { ", ${it.queuedRequests} queued, ${it.runningStreams} running" }
    return "${instance.instance.value} ${instance.address} $state, ${held(instance.holding)}" +
        "${load.orEmpty()}, revision ${instance.configurationRevision}"
}

private fun held(holding: Holding?): String =
    when (holding) {
        null -> "entry"
        is Holding.Stage ->
            "${holding.model} layers ${holding.firstLayer} to ${holding.endLayer - 1}"
        is Holding.Service -> "service ${holding.service}"
    }
