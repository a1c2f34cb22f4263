package org.jacinthlink.cli.load

import kotlin.math.ln
import kotlin.random.Random

/** All requests of [plan] in the order of their send times. */
internal fun schedule(plan: LoadPlan): List<ScheduledRequest> =
    plan.streams
        .flatMapIndexed { index, stream ->
            sendTimes(stream, plan.arrivals, Random(plan.seed + index))
                .mapIndexed { number, sendAtUs -> ScheduledRequest(sendAtUs, stream, number) }
        }.sortedBy { it.sendAtUs }

private fun sendTimes(stream: LoadStream, arrivals: Arrivals, random: Random): List<Long> {
    val meanGapUs = MICROS_PER_SECOND / stream.ratePerSecond
    val endUs = stream.stopSecond * MICROS_PER_SECOND
    // Streams of the same rate start at different points of their gap, so that they do not send
    // at the same moments.
    var nextUs = stream.startSecond * MICROS_PER_SECOND + random.nextDouble() * meanGapUs
    return buildList {
        while (nextUs < endUs) {
            add(nextUs.toLong())
            nextUs += if (arrivals == Arrivals.EVEN) meanGapUs else exponential(random, meanGapUs)
        }
    }
}

private fun exponential(random: Random, mean: Double) = -mean * ln(1.0 - random.nextDouble())

private const val MICROS_PER_SECOND = 1_000_000.0
