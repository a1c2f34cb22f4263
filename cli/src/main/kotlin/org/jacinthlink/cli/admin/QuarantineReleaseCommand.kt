package org.jacinthlink.cli.admin

import kotlinx.cli.ArgType
import org.jacinthlink.cli.ExitCode

internal class QuarantineReleaseCommand :
    ChangeCommand("quarantine-release", "Accepts a quarantined request content again") {
    private val fingerprint by argument(ArgType.String, description = "as 'status' lists it")

    override fun run(admin: AdminClient): ExitCode =
        report(admin.call("DELETE", "/v1/admin/quarantine/${pathSegment(fingerprint)}"))
}
