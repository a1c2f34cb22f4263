package org.jacinthlink.cli.experiment

/** Names of the runs. */
internal object RunNames {
    const val STEADY = "steady"
    const val FLOOD_LOW = "flood-low"
    const val FLOOD_URGENT = "flood-urgent"
    const val WITHOUT_LARGE = "large-callers-without"
    const val WITH_LARGE = "large-callers"
    const val KILLED_STAGE = "killed-stage"
    const val LOST_ZONE = "lost-zone"

    /** All runs in the order in which they take place; a lost zone does not come back. */
    val ALL =
        listOf(
            STEADY,
            FLOOD_LOW,
            FLOOD_URGENT,
            WITHOUT_LARGE,
            WITH_LARGE,
            KILLED_STAGE,
            LOST_ZONE
        )
}
