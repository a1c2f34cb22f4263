package org.jacinthlink.sidecar

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.builtins.ListSerializer
import org.jacinthlink.api.CallAnswer
import org.jacinthlink.api.CallRequest
import org.jacinthlink.api.Headers
import org.jacinthlink.api.Holding
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.Success
import org.jacinthlink.api.WorkspaceId
import org.jacinthlink.runtime.RunningProcess
import org.jacinthlink.runtime.daemon.DaemonSettings
import org.jacinthlink.runtime.events.Event
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.peerClient
import org.jacinthlink.standins.startInstanceListStandIn
import org.jacinthlink.standins.startKeyValueStandIn
import org.jacinthlink.standins.startPlainServiceStandIn

class ServiceSidecarSpec :
    DescribeSpec({
        it("a sidecar of a plain service executes a keyed call once and replays its result") {
            // Guards against an assembly that leaves out the claims.
            val service = startPlainServiceStandIn()
            val keyValue = startKeyValueStandIn()
            val list = startInstanceListStandIn()
            val settings =
                SidecarSettings(
                    DaemonSettings(
                        "desk",
                        port = 0,
                        availabilityZone = "zone-a",
                        peerToken = TestPipeline.TOKEN
                    ),
                    "http://${list.address}",
                    "http://${keyValue.address}",
                    "http://unused",
                    "http://${service.address}",
                    Holding.Service("order-desk")
                )
            val sidecar =
                startSidecar(settings).shouldBeInstanceOf<Success<RunningProcess>>().value
            val client = peerClient { mapOf(Headers.PEER_TOKEN to TestPipeline.TOKEN) }

            fun call(): CallAnswer.Executed {
                val body = ProtocolJson.encodeToString(CallRequest.serializer(), BOOKING)
                val url = "http://${sidecar.address}/v1/calls"
                val answer = client.call(PeerCall("POST", url, body), 3_000)
                val text = answer.shouldBeInstanceOf<PeerResult.Answered>().body
                return ProtocolJson.decodeFromString(CallAnswer.serializer(), text)
                    .shouldBeInstanceOf<CallAnswer.Executed>()
            }
            call().replayed shouldBe false
            call().replayed shouldBe true

            fun get(path: String): String {
                val answer = client.call(PeerCall("GET", "http://${sidecar.address}$path"), 1_000)
                return answer.shouldBeInstanceOf<PeerResult.Answered>().body
            }
            // Guards against a booking whose time line ends at the entry.
            val events =
                ProtocolJson.decodeFromString(
                    ListSerializer(Event.serializer()),
                    get("/v1/events?request_id=r")
                )
            events.map { it.name } shouldContainExactly
                listOf("claim_written", "call_executed", "call_replayed")
            get("/metrics") shouldContain "jacinthlink_calls_total{outcome=\"replayed\"} 1.0"
            // Guards against calls that are sent to a sidecar whose service is down.
            get("/v1/describe") shouldNotContain "\"ready\":false"
            service.stop()
            eventually(5.seconds) { get("/v1/describe") shouldContain "\"ready\":false" }
            sidecar.stop()
            client.close()
            listOf(keyValue, list).forEach { it.stop() }
        }
    })

private val BOOKING =
    CallRequest(
        RequestId("r"),
        WorkspaceId("w"),
        "urgent",
        "order-desk",
        "POST",
        "/bookings",
        emptyMap(),
        """{"reference":"b-1"}""",
        idempotencyKey = "k",
        bodyHash = "h",
        remainingMs = 2_000
    )
