package org.jacinthlink.router.relay

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import java.util.concurrent.CopyOnWriteArrayList
import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.fleet.ServerState
import org.jacinthlink.platform.fleet.EngineClient
import org.jacinthlink.router.standins.EngineStandIn
import org.jacinthlink.router.standins.await
import org.jacinthlink.transport.eventLoop
import org.jacinthlink.transport.httpClient

class EngineProbeSpec :
    DescribeSpec({
        val loop = eventLoop("probe")
        afterSpec { loop.stop() }

        describe("an engine whose answers are read late") {
            // Guards against live engines that slow machines repeatedly treat as dead, which
            // happened 1,146 times in one run.
            it("gives a report after the timeout, and does not time out a second time") {
                val engine = EngineStandIn(loop, "e", "a")
                val server =
                    BackendServer(
                        "e", "model", engine.address.host, engine.address.port, "a",
                        ServerState.READY, 134, 1, "card", null
                    )
                val nowMs = { System.nanoTime() / 1_000_000 }
                val probe = EngineProbe(loop, EngineClient(loop, httpClient(loop)), nowMs)
                val results = CopyOnWriteArrayList<Boolean>()
                fun requestReport() =
                    loop.execute { probe.requestReport(server) { results.add(it != null) } }
                repeat(60) { i ->
                    requestReport()
                    await { results.size == i + 1 }
                }
                engine.reportDelayMs = 150
                results.clear()
                requestReport()
                await { results.size == 2 }
                requestReport()
                await { results.size == 3 }
                Thread.sleep(200)
                results shouldContainExactly listOf(false, true, true)
            }
        }
    })
