package org.jacinthlink.entry

import org.http4k.core.Request
import org.jacinthlink.api.Configuration
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Headers
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Success
import org.jacinthlink.api.WorkClass
import org.jacinthlink.api.WorkspaceId

/** Workspace and class that a caller stated. */
internal data class CallerIdentity(val workspace: WorkspaceId, val workClass: WorkClass)

/** Reads the caller's headers of [request]. */
internal fun callerIdentity(
    request: Request,
    configuration: Configuration
): Outcome<CallerIdentity> {
    val workspace = request.header(Headers.WORKSPACE)
    if (workspace == null || !WORKSPACE.matches(workspace)) {
        return Failure(ResultCode.UNKNOWN_WORKSPACE, headerFault(Headers.WORKSPACE, workspace))
    }
    val name =
        request.header(Headers.WORK_CLASS)
            ?: return Failure(ResultCode.UNKNOWN_CLASS, headerFault(Headers.WORK_CLASS, null))
    val workClass =
        configuration.classes[name]
            ?: return Failure(
                ResultCode.UNKNOWN_CLASS,
                "class '${name.take(SHOWN)}' is not configured"
            )
    return Success(CallerIdentity(WorkspaceId(workspace), workClass))
}

private fun headerFault(name: String, value: String?): String =
    if (value == null) {
        "header $name is missing"
    } else {
        "header $name is malformed: '${value.take(SHOWN)}'"
    }

private val WORKSPACE = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
private const val SHOWN = 64
