package org.jacinthlink.entry.admin

import org.jacinthlink.api.Configuration
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.api.Role
import org.jacinthlink.decision.routing.FlowPlan
import org.jacinthlink.entry.EntryContext
import org.jacinthlink.entry.heads.HeadDirectory
import org.jacinthlink.runtime.membership.KnownMember
import org.jacinthlink.runtime.membership.MemberState

/** Answers `GET /v1/admin/status`. */
internal class StatusReport(
    private val context: EntryContext,
    private val heads: HeadDirectory,
    private val figures: FiguresGatherer
) {
    fun answer(): StatusAnswer {
        val configuration = context.configuration.current
        val gathered = figures.gather()
        return StatusAnswer(
            context.instance,
            configuration.revision,
            context.isDraining(),
            classes(configuration, gathered.classes),
            gathered.missing,
            context.membership.members().map(::instanceStatus) + ownStatus(configuration),
            heads.plans().values.map(::modelStatus),
            configuration.quarantine.map { (fingerprint, addedAtMs) ->
                QuarantineStatus(fingerprint, addedAtMs, QUARANTINE_REASON)
            }
        )
    }

    private fun classes(configuration: Configuration, figures: Map<String, ClassFigures>) =
        configuration.classes.values.sortedByDescending { it.worth }.map { workClass ->
            val known = figures[workClass.name] ?: ClassFigures()
            ClassStatus(
                workClass,
                known.ended,
                known.withinShare,
                known.firstAnswerMs(P95),
                known.refused,
                known.failed
            )
        }

    private fun instanceStatus(member: KnownMember) =
        InstanceStatus(
            member.instance,
            member.listed.role,
            member.listed.availabilityZone,
            member.state,
            member.known?.description,
            member.known?.describedAtMs
        )

    private fun ownStatus(configuration: Configuration): InstanceStatus {
        val zone = context.availabilityZone
        val description =
            InstanceDescription(
                context.instance,
                Role.ENTRY,
                context.settings.daemon.let { it.advertisedAddress ?: "${it.host}:${it.port}" },
                zone,
                configuration.revision,
                draining = context.isDraining()
            )
        val state = if (context.isDraining()) MemberState.DRAINING else MemberState.AVAILABLE
        val nowMs = context.clock.nowMs()
        return InstanceStatus(context.instance, Role.ENTRY, zone, state, description, nowMs)
    }

    private fun modelStatus(plan: FlowPlan) =
        ModelStatus(
            plan.model,
            plan.boundTokensPerSecond,
            plan.stages.count { it.holding.isHead },
            plan.stages.size,
            plan.routes.size
        )

    private companion object {
        const val P95 = 0.95

        // Crashes are the only cause for which content is quarantined.
        const val QUARANTINE_REASON = "crashed backend servers twice"
    }
}
