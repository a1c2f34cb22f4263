package org.jacinthlink.router

import kotlinx.serialization.Serializable
import org.jacinthlink.decision.limits.WorkspaceQuota
import org.jacinthlink.decision.limits.WorkspaceQuotas
import org.jacinthlink.decision.limits.workspaceQuotas
import org.jacinthlink.runtime.settings.Validation

/**
 * Limit on the requests of a workspace, over all routers.
 *
 * @property workspace Name of the workspace, or [WorkspaceQuotas.ANY_WORKSPACE] for each workspace
 *   without an entry of its own.
 * @property requestsPerS Lasting rate of requests.
 * @property burst Requests beyond the rate that are admitted after a pause.
 */
@Serializable
data class WorkspaceQuotaSettings(val workspace: String, val requestsPerS: Double, val burst: Int)

/** Quota of each workspace with an entry. */
internal fun RouterSettings.toQuotas(): Map<String, WorkspaceQuota> =
    workspaceQuotas.associate { it.workspace to WorkspaceQuota(it.requestsPerS, it.burst) }

/** Creates the quotas of [settings], which apply from [nowMs] on. */
internal fun workspaceQuotas(settings: RouterSettings, nowMs: Long): WorkspaceQuotas =
    workspaceQuotas().apply { replace(settings.toQuotas(), nowMs) }

/** Checks what the types of [quotas] cannot express; each fault names the entry's workspace. */
internal fun Validation.checkWorkspaceQuotas(quotas: List<WorkspaceQuotaSettings>) {
    val names = mutableSetOf<String>()
    quotas.forEachIndexed { i, quota ->
        val entry = "workspaceQuotas[$i]"
        val name = quota.workspace
        notBlank("$entry.workspace", name)
        check("$entry.workspace", names.add(name)) { "\"$name\" has an entry already" }
        check("$entry.requestsPerS", quota.requestsPerS > 0 && quota.requestsPerS <= MAX_PER_S) {
            "must be positive and at most $MAX_PER_S, but is ${quota.requestsPerS} for \"$name\""
        }
        check("$entry.burst", quota.burst >= 1) {
            "must be at least 1, but is ${quota.burst} for \"$name\""
        }
    }
}

/** More than all routers relay together; also excludes infinite rates. */
private const val MAX_PER_S = 1_000_000.0
