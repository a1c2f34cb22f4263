package org.jacinthlink.standins

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration.Companion.seconds
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.peerClient

class StandInControlSpec :
    DescribeSpec({
        val client = peerClient()
        afterSpec { client.close() }

        fun send(method: String, url: String, body: String? = null) =
            client.call(PeerCall(method, "http://$url", body), 10_000)

        fun answer(method: String, url: String, body: String? = null) =
            send(method, url, body).shouldBeInstanceOf<PeerResult.Answered>()

        describe("the control interface, which process tests use instead of the handles") {
            it("sets the faults of the key-value service and shows its counted calls") {
                val standIn = startKeyValueStandIn()
                answer("POST", "${standIn.address}/control", """{"outage":"UNAVAILABLE"}""")
                answer(
                    "POST",
                    "${standIn.address}/v3/kv/range",
                    """{"key":"YQ=="}"""
                ).status shouldBe
                    503
                answer("GET", "${standIn.address}/control").body shouldContain """"range":1"""
                standIn.stop()
            }
            it("adds, marks and removes listed instances") {
                val standIn = startInstanceListStandIn()
                val instance =
                    """{"instance":"e1","role":"entry","address":"a:1","availabilityZone":"z"}"""
                answer("POST", "${standIn.address}/control/add", instance)
                answer("POST", "${standIn.address}/control/leave", """{"instance":"e1"}""")
                answer("GET", "${standIn.address}/v1/instances").body shouldContain
                    """"leaving":true"""
                answer("POST", "${standIn.address}/control/remove", """{"instance":"e1"}""")
                answer("GET", "${standIn.address}/v1/instances").body shouldBe "[]"
                standIn.stop()
            }
            it("crashes a stand-in, which returns on its port") {
                val standIn = startPlainServiceStandIn()
                send("POST", "${standIn.address}/control/crash", """{"downMs":200}""")
                    .shouldBeInstanceOf<PeerResult.Unknown>()
                eventually(5.seconds) { answer("GET", "${standIn.address}/control/executions") }
                standIn.stop()
            }
            it("answers an unreadable request with 400, so that it does not look like a fault") {
                val standIn = startEngineStandIn(EngineSettings())
                answer("POST", "${standIn.address}/v1/engine/step", "[").status shouldBe 400
                standIn.stop()
            }
        }
    })
