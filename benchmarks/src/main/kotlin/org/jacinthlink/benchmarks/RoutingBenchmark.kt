package org.jacinthlink.benchmarks

import java.util.concurrent.TimeUnit
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Fork
import org.openjdk.jmh.annotations.Measurement
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Param
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.State
import org.openjdk.jmh.annotations.Warmup

/**
 * Times single calls, so that percentiles can be compared with the target of a decision, on a
 * virtual machine with the options of the daemons.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(2, jvmArgs = ["-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k"])
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
abstract class RoutingBenchmark {
    /** Runners of the model. */
    @Param("40", "160", "600")
    var runners = 0

    protected companion object {
        /** Seed of the generated fleets, the default of `jacinthlink measure`. */
        const val SEED = 1
    }
}
