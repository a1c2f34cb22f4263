package org.jacinthlink.router.relay

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.LayerRange
import org.jacinthlink.decision.fleet.ServerState
import org.jacinthlink.platform.fleet.EngineReport
import org.jacinthlink.router.decisionLog
import org.jacinthlink.router.standins.await
import org.jacinthlink.transport.eventLoop

class SlowServerDetectorSpec :
    DescribeSpec({
        val loop = eventLoop("slow-servers")
        afterSpec { loop.stop() }
        val server =
            BackendServer(
                "e1", "model", "10.0.0.1", 80, "a", ServerState.READY, 134, 0, "l4",
                LayerRange(0, 8)
            )

        fun report(slowdownFactor: Double) =
            EngineReport(0, false, 0, LayerRange(0, 8), 0, 0, 0, 0, slowdownFactor)

        describe("an engine that becomes twelve times slower") {
            // Guards against paths that still pass through a slow engine, and against an engine
            // that is never used again after a slow phase.
            it("is slow until it reports its usual speed again") {
                var slowdownFactor = 12.0
                val detector =
                    SlowServerDetector(
                        loop,
                        { _, onReport -> onReport(report(slowdownFactor)) },
                        decisionLog("r")
                    ) {}
                detector.recordReport(server, report(12.0))
                detector.slow shouldContainExactly setOf("10.0.0.1:80")
                slowdownFactor = 1.0
                await { detector.slow.isEmpty() }
            }

            it("is slow as long as a peer reports it as slow") {
                val detector = SlowServerDetector(loop, { _, _ -> }, decisionLog("r")) {}
                detector.updateFromPeers(setOf("10.0.0.1:80"))
                detector.slow shouldContainExactly setOf("10.0.0.1:80")
                detector.detected.shouldBeEmpty()
                detector.updateFromPeers(emptySet())
                detector.slow.shouldBeEmpty()
            }
        }

        describe("an engine that is a little slower than usual for its accelerator") {
            it("is used like the others") {
                val detector = SlowServerDetector(loop, { _, _ -> }, decisionLog("r")) {}
                detector.recordReport(server, report(2.0))
                detector.slow.shouldBeEmpty()
            }
        }
    })
