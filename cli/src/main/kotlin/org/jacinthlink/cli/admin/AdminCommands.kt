package org.jacinthlink.cli.admin

import org.jacinthlink.cli.Command

/** Commands of operators. */
internal fun adminCommands(): List<Command> =
    listOf(
        StatusCommand(),
        ClassListCommand(),
        ClassSetCommand(),
        ClassRemoveCommand(),
        QuarantineReleaseCommand(),
        EventsCommand()
    )
