package org.jacinthlink.benchmarks

import java.util.concurrent.TimeUnit
import kotlin.random.Random
import org.jacinthlink.decision.admission.AdmissionQueue
import org.jacinthlink.decision.admission.PeerLoad
import org.jacinthlink.decision.admission.QueueDecision
import org.jacinthlink.decision.admission.RankLoad
import org.jacinthlink.decision.admission.ServiceRoom
import org.jacinthlink.decision.admission.WaitingRequest
import org.jacinthlink.decision.admission.admissionQueue
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Fork
import org.openjdk.jmh.annotations.Measurement
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import org.openjdk.jmh.annotations.Warmup

/**
 * Times the decision whether a request may wait, and the choice of the next one, with 1,000 requests
 * of 240 workspaces and three ranks in the queue. What the other routers have told is one sum,
 * whatever their number.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(2, jvmArgs = ["-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k"])
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
open class AdmissionBenchmark {
    private val queue: AdmissionQueue<Int> = admissionQueue(Random(1))
    private val peers = PeerLoad((0..2).associateWith { RankLoad(100_000, 100_000, 50.0) }, 150.0)
    private val room =
        ServiceRoom(0, 4_000.0, (0..2).associateWith { 60.0 }, peers, answerMs = 150)

    /** Fills the queue. */
    @Setup
    fun fill() {
        repeat(WAITING_COUNT) { queue.offer(request(it), 0, room) }
    }

    /** Decides on a request that is refused, so that the queue stays as it is. */
    @Benchmark
    fun decide(): QueueDecision = queue.offer(request(0).copy(latestStartAtMs = -1), 0, room)

    /** Chooses the next request, which there is no room for. */
    @Benchmark
    fun chooseNext(): WaitingRequest<Int>? = queue.next(0, 150) { false }

    private fun request(i: Int) =
        WaitingRequest(
            item = i,
            workspace = "w${i % WORKSPACE_COUNT}",
            priority = i % 3,
            tokens = 1_000,
            arrivedAtMs = i % 400L,
            spentMs = if (i % 5 == 0) 2_000 else 0,
            targetMs = 500,
            latestStartAtMs = 1_000_000,
            maxRetryAfterMs = 6_000
        )

    private companion object {
        const val WAITING_COUNT = 1_000
        const val WORKSPACE_COUNT = 240
    }
}
