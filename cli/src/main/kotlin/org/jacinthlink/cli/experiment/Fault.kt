package org.jacinthlink.cli.experiment

/** A fault in the middle of a run. */
internal sealed interface Fault {
    /** The sidecar of the stage [name] is killed; its engine goes on. */
    data class KilledStage(val name: String) : Fault

    /** All sidecars, entries and engines of [zone] end at once. */
    data class LostZone(val zone: String) : Fault
}
