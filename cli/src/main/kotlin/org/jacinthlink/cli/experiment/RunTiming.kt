package org.jacinthlink.cli.experiment

/**
 * Times of the runs of a scenario.
 *
 * @property warmUpSeconds Load before the first run, so that the daemons' code is compiled.
 * @property leadSeconds First seconds of each run, which are left out of its figures.
 * @property seconds Seconds of each run that are measured.
 * @property faultAfterSeconds Time from the first measured second to the fault.
 */
internal data class RunTiming(
    val warmUpSeconds: Double = 5.0,
    val leadSeconds: Double = 2.0,
    val seconds: Double = 10.0,
    val faultAfterSeconds: Double = 2.0
) {
    val endSeconds: Double get() = leadSeconds + seconds
    val faultAtSeconds: Double get() = leadSeconds + faultAfterSeconds
}
