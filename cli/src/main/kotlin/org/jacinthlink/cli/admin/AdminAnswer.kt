package org.jacinthlink.cli.admin

import org.jacinthlink.cli.ExitCode

/** Answer of the operators' API. */
sealed interface AdminAnswer {
    /** The call succeeded with a JSON [body]. */
    data class Ok(val body: String) : AdminAnswer

    /** The call failed; the command ends with [exitCode]. */
    data class Failed(val exitCode: ExitCode, val message: String) : AdminAnswer
}
