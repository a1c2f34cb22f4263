package org.jacinthlink.cli.experiment

import com.sun.management.OperatingSystemMXBean
import java.lang.management.ManagementFactory
import java.time.Duration
import kotlin.streams.asSequence

/** Processor use of the machine, and of this process with the daemons that it started. */
internal class ProcessorUse {
    private val machine =
        ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean
    private var startNs = System.nanoTime()
    private var ownAtStart = emptyMap<Long, Duration>()

    /** Share of all processors of the machine between [begin] and [end]. */
    var machineShare = 0.0
        private set

    /** Processors in use by the experiment meanwhile; daemons that ended are left out. */
    var ownCores = 0.0
        private set

    fun begin() {
        machine.cpuLoad
        startNs = System.nanoTime()
        ownAtStart = ownTimes()
    }

    fun end() {
        machineShare = machine.cpuLoad
        val usedNs =
            ownTimes().entries.sumOf { (pid, time) ->
                time.minus(ownAtStart[pid] ?: Duration.ZERO).toNanos()
            }
        ownCores = usedNs.toDouble() / (System.nanoTime() - startNs)
    }

    private fun ownTimes(): Map<Long, Duration> =
        (ProcessHandle.current().descendants().asSequence() + ProcessHandle.current())
            .associate { it.pid() to it.info().totalCpuDuration().orElse(Duration.ZERO) }
}
