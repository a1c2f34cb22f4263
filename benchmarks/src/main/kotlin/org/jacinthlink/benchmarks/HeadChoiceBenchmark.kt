package org.jacinthlink.benchmarks

import kotlin.random.Random
import org.jacinthlink.cli.measure.GeneratedFleet
import org.jacinthlink.decision.routing.HeadCandidate
import org.jacinthlink.decision.routing.powerOfChoicesHeadSelector
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.Setup

/**
 * Choice of a head at an entry, taken for each request. All [runners] are candidates, which is an
 * upper bound: an entry knows a subset of the heads only.
 */
open class HeadChoiceBenchmark : RoutingBenchmark() {
    private val choice = powerOfChoicesHeadSelector("zone-0")
    private val random = Random(SEED)
    private lateinit var heads: List<HeadCandidate>

    @Setup
    fun generate() {
        heads = GeneratedFleet.heads(runners, Random(SEED))
    }

    @Benchmark
    fun choose(): HeadCandidate? =
        choice.choose(heads, emptySet(), GeneratedFleet.NOW_MS, random)
}
