package org.jacinthlink.cli

/** Exit codes of the command line. A usage error ends with 127, as kotlinx-cli sets it. */
enum class ExitCode(val number: Int) {
    OK(0),
    SETTINGS_INVALID(3),
    REFUSED(4),
    UNREACHABLE(5),
    OUTCOME_UNKNOWN(6),
    INCOMPLETE(7)
}
