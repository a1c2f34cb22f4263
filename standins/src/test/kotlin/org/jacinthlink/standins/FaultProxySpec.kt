package org.jacinthlink.standins

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.system.measureTimeMillis
import kotlin.time.Duration.Companion.seconds
import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.ServerLimits
import org.jacinthlink.runtime.http.peerClient
import org.jacinthlink.runtime.http.startHttpServer

class FaultProxySpec :
    DescribeSpec({
        val received = CopyOnWriteArrayList<String>()
        val target =
            startHttpServer("127.0.0.1", 0, ServerLimits()) { request ->
                received += request.uri.path
                Response(Status.OK).body(request.bodyString())
            }
        val listener = ProxyListenerSettings("a", "127.0.0.1:${target.port}")
        val proxy = startFaultProxy(FaultProxySettings(listeners = listOf(listener)))
        val url = "http://${proxy.addressOf("a")}"
        val client = peerClient()
        beforeEach {
            proxy.setFaults("a", ProxyFaults())
            received.clear()
        }
        afterSpec {
            proxy.stop()
            target.stop()
            client.close()
        }

        fun send(path: String, body: String = "x", fresh: Boolean = false) =
            client.call(PeerCall("POST", "$url/$path", body), 10_000, fresh)

        fun sendInVain(path: String, fresh: Boolean = false) =
            client.call(PeerCall("POST", "$url/$path", "x"), 400, fresh)
                .shouldBeInstanceOf<PeerResult.Unknown>()

        fun answered(result: PeerResult) =
            result.shouldBeInstanceOf<PeerResult.Answered>().body

        it("passes a body of many chunks on in both directions") {
            val body = "abc".repeat(100_000)
            answered(send("long", body)) shouldBe body
        }
        it("refuses new connections and keeps the present ones") {
            answered(send("warm-up")) shouldBe "x"
            proxy.setFaults("a", ProxyFaults(refuse = true))
            answered(send("pooled")) shouldBe "x"
            send("new", fresh = true).shouldBeInstanceOf<PeerResult.NotSent>()
            proxy.setFaults("a", ProxyFaults())
            answered(send("again", fresh = true)) shouldBe "x"
        }
        it("makes present connections silent for good while new ones work") {
            answered(send("warm-up")) shouldBe "x"
            proxy.silenceExisting("a")
            sendInVain("silent")
            answered(send("new", fresh = true)) shouldBe "x"
            received shouldBe listOf("/warm-up", "/new")
        }
        it("loses the answer of a call that reached the target") {
            proxy.setFaults("a", ProxyFaults(drop = ProxyDrop(ProxyDirection.TO_CLIENT)))
            sendInVain("lost", fresh = true)
            received shouldBe listOf("/lost")
        }
        it("delivers a held call after its sender has given up") {
            proxy.setFaults("a", ProxyFaults(hold = ProxyDirection.TO_TARGET))
            sendInVain("held", fresh = true)
            received shouldBe emptyList()
            proxy.setFaults("a", ProxyFaults())
            eventually(3.seconds) { received shouldBe listOf("/held") }
        }
        it("delays both directions") {
            proxy.setFaults("a", ProxyFaults(delayMs = 60.0))
            measureTimeMillis { answered(send("slow")) } shouldBeGreaterThan 115L
        }
        it("limits the bandwidth of all connections together") {
            proxy.setFaults("a", ProxyFaults(bytesPerSecond = 100_000))
            val body = "x".repeat(10_000)
            measureTimeMillis { repeat(2) { answered(send("big", body)) } } shouldBeGreaterThan 190L
        }
        it("cuts present connections") {
            proxy.setFaults("a", ProxyFaults(hold = ProxyDirection.TO_TARGET))
            proxy.cutAll("a")
            eventually(3.seconds) { proxy.status.single().openConnections shouldBe 0 }
            val cutter =
                thread {
                    while (proxy.status.single().openConnections == 0) Thread.sleep(10)
                    proxy.cutAll("a")
                }
            // Without the cut, the call would end by its timeout of 10 s.
            measureTimeMillis { send("cut", fresh = true).shouldBeInstanceOf<PeerResult.Unknown>() }
                .shouldBeLessThan(8_000L)
            cutter.join()
            eventually(3.seconds) { proxy.status.single().openConnections shouldBe 0 }
            received shouldBe emptyList()
        }
        it("takes faults over its control interface") {
            val control = "http://${proxy.address}/control/a"
            val order = PeerCall("POST", control, """{"refuse":true}""")
            client.call(order, 1_000).shouldBeInstanceOf<PeerResult.Answered>().status shouldBe 200
            proxy.status.single().faults shouldBe ProxyFaults(refuse = true)
            client.call(PeerCall("POST", "$control/cut"), 1_000)
                .shouldBeInstanceOf<PeerResult.Answered>()
                .status shouldBe 200
        }
    })
