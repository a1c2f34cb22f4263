package org.jacinthlink.runtime.daemon

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Headers
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Role
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.ServerLimits
import org.jacinthlink.runtime.http.headerValue
import org.jacinthlink.runtime.http.peerClient

private fun handle(request: Request): Response =
    when (request.uri.path) {
        "/v1/overflow" -> throw StackOverflowError()
        else -> Response(Status.OK).body("own")
    }

class DaemonShellSpec :
    DescribeSpec({
        val fleet = TestFleet()
        val stranger = peerClient()
        afterSpec {
            fleet.close()
            stranger.close()
        }

        fun statusFor(address: String, path: String, headers: Map<String, String>): Int {
            val call = PeerCall("GET", "http://$address$path", headers = headers)
            return stranger.call(call, 2_000).shouldBeInstanceOf<PeerResult.Answered>().status
        }

        describe("the common endpoints") {
            val shell = fleet.start("common", TestLogic(::handle))

            it("describe the process") {
                val body = fleet.get(shell.address, "/v1/describe").body
                val description =
                    ProtocolJson.decodeFromString(InstanceDescription.serializer(), body)
                description.instance shouldBe shell.instance
                description.address shouldBe shell.address
                description.draining shouldBe false
            }
            it("report metrics and health to anyone, so that the platform needs no secret") {
                statusFor(shell.address, "/metrics", emptyMap()) shouldBe 200
                statusFor(shell.address, "/health", emptyMap()) shouldBe 200
                fleet.get(shell.address, "/metrics").body shouldContain
                    "jacinthlink_configuration_revision"
            }
            it("refuse processes without the token or with a wrong one") {
                val paths = listOf("/v1/describe", "/v1/config", "/v1/events", "/v1/drain", "/v1/x")
                val wrong = mapOf(Headers.PEER_TOKEN to "a-token-for-tests-onlY")
                paths.forEach { path ->
                    statusFor(shell.address, path, emptyMap()) shouldBe 401
                    statusFor(shell.address, path, wrong) shouldBe 401
                }
            }
            it("leave the open paths of the daemon to the daemon") {
                statusFor(shell.address, "/open/path", emptyMap()) shouldBe 200
                fleet.get(shell.address, "/v1/other").body shouldBe "own"
            }
            it("answer 500 after an Error in a handler and go on") {
                fleet.get(shell.address, "/v1/overflow").status shouldBe 500
                fleet.get(shell.address, "/v1/other").status shouldBe 200
            }
            it("give events, with the log's fault of the handler among them") {
                fleet.get(shell.address, "/v1/events").body shouldContain "handler_failed"
            }
            it("advance the clock by a peer's header, but not by a stranger's") {
                val nowMs = System.currentTimeMillis()
                val ahead = ((nowMs + 30_000) shl 16).toString()
                statusFor(shell.address, "/open/x", mapOf(Headers.CLOCK to ahead))
                clockOf(fleet.get(shell.address, "/v1/describe")) shouldBeLessThan ahead.toLong()
                val call =
                    PeerCall(
                        "GET",
                        "http://${shell.address}/v1/describe",
                        headers = mapOf(Headers.CLOCK to ahead)
                    )
                clockOf(fleet.client.call(call, 2_000) as PeerResult.Answered) shouldBeGreaterThan
                    ahead.toLong()
            }
        }

        describe("a daemon whose worker threads are all busy") {
            it("still answers the platform and its peers, which would exclude it otherwise") {
                val release = CountDownLatch(1)
                val logic =
                    TestLogic({
                        release.await(20, TimeUnit.SECONDS)
                        Response(Status.OK)
                    })
                val shell = fleet.start("busy", logic)
                val count = ServerLimits().workerThreads + 6
                val call = PeerCall("GET", "http://${shell.address}/open/slow")
                val calls =
                    (1..count).map { thread(isDaemon = true) { stranger.call(call, 20_000) } }
                Thread.sleep(500)
                statusFor(shell.address, "/health", emptyMap()) shouldBe 200
                fleet.get(shell.address, "/v1/describe").status shouldBe 200
                fleet.get(shell.address, "/v1/config").status shouldBe 200
                release.countDown()
                calls.forEach { it.join() }
            }
        }

        describe("a port in use") {
            it("is a failure with its code, and nothing stays behind") {
                val first = fleet.start("port")
                val settings =
                    first.settings.copy(port = first.address.substringAfter(':').toInt())
                val setup =
                    DaemonSetup(
                        settings,
                        Role.ENTRY,
                        { DaemonPlatform(fleet.keyValue, fleet.instanceList) }
                    )
                val failure = startDaemon(setup) { TestLogic() }.shouldBeInstanceOf<Failure>()
                failure.code shouldBe ResultCode.ADDRESS_IN_USE
                failure.message shouldStartWith "cannot listen on ${first.address}"
            }
        }

        describe("a graceful stop") {
            it("shows on every answer at once, waits for open work and then ends") {
                val logic = TestLogic(::handle).apply { openWork.set(1) }
                val shell = fleet.start("drain", logic)
                val call = PeerCall("POST", "http://${shell.address}/v1/drain")
                fleet.client.call(call, 2_000).shouldBeInstanceOf<PeerResult.Answered>()
                val answer = fleet.get(shell.address, "/v1/other")
                answer.status shouldBe 200
                answer.headers.headerValue(Headers.DRAINING) shouldBe shell.instance.value
                fleet.get(shell.address, "/v1/describe").body shouldContain "\"draining\":true"
                statusFor(shell.address, "/health", emptyMap()) shouldBe 503
                Thread.sleep(700)
                fleet.get(shell.address, "/v1/other").status shouldBe 200
                logic.openWork.set(0)
                waitUntil(2_000, "stop") { isDown(fleet, shell.address) }
                shell.awaitStopped()
            }
            it("ends at its deadline although work is left") {
                val logic = TestLogic().apply { openWork.set(1) }
                val shell = fleet.start("deadline", logic)
                shell.drain()
                waitUntil(5_000, "stop") { isDown(fleet, shell.address) }
            }
        }
    })

private fun clockOf(answer: PeerResult.Answered): Long =
    answer.headers.headerValue(Headers.CLOCK)!!.toLong()

private fun isDown(fleet: TestFleet, address: String): Boolean =
    fleet.client.call(PeerCall("GET", "http://$address/health"), 500) is PeerResult.NotSent
