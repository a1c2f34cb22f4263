package org.jacinthlink.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import org.jacinthlink.api.Failure
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Success
import org.jacinthlink.runtime.RunningProcess
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.peerClient
import org.jacinthlink.runtime.settings.loadSettings

private fun yaml(port: Int = 0, token: String = OPERATOR_TOKEN) =
    """
    daemon:
      name: entry-1
      port: $port
      availabilityZone: howrah
      peerToken: peer-token-of-the-tests
      drainTimeoutMs: 3000
    instanceListUrl: http://127.0.0.1:1
    keyValueUrl: http://127.0.0.1:1
    operatorToken: $token
    limits: {settlingMs: 1000, drainNoticeMs: 1000}
    """.trimIndent()

private fun settings(text: String) =
    loadSettings(EntrySettings.serializer(), text) { checkEntry(it) }

private fun start(port: Int = 0) =
    startEntry(settings(yaml(port)).shouldBeInstanceOf<Success<EntrySettings>>().value)

class StartEntrySpec :
    DescribeSpec({
        val client = peerClient()
        afterSpec { client.close() }

        fun get(process: RunningProcess, path: String) =
            client.call(PeerCall("GET", "http://${process.address}$path"), 2_000, fresh = true)

        describe("settings of an entry") {
            // Guards against a guessable token and against a fault that is not named.
            it("are checked, and each fault is named") {
                val fault = settings(yaml(port = 70_000, token = "short"))
                val message = fault.shouldBeInstanceOf<Failure>().message
                message shouldContain "daemon.port: 70000"
                message shouldContain "operatorToken: "
            }
        }

        describe("an entry") {
            // Guards against an entry that needs the platform to start, opens peers' routes to
            // callers, or cannot be stopped.
            it("starts without its platform, guards its routes and drains") {
                val entry = start().shouldBeInstanceOf<Success<RunningProcess>>().value
                fun status(path: String) =
                    get(entry, path).shouldBeInstanceOf<PeerResult.Answered>().status
                // Without its platform, the entry waits for the settling time before it serves.
                status("/health") shouldBe 503
                Thread.sleep(1_100)
                status("/health") shouldBe 200
                status("/v1/describe") shouldBe 401
                status("/v1/crashes") shouldBe 401
                status("/v1/admin/status") shouldBe 401
                status("/v1/services/ledger/x") shouldBe 400
                val port = entry.address.substringAfter(':').toInt()
                start(port).shouldBeInstanceOf<Failure>().code shouldBe ResultCode.ADDRESS_IN_USE
                entry.drain()
                // Guards against refusals before a load balancer has seen the answer of /health.
                status("/health") shouldBe 503
                status("/v1/services/ledger/x") shouldBe 400
                CompletableFuture.runAsync(entry::awaitStopped).get(10, TimeUnit.SECONDS)
                get(entry, "/health").shouldBeInstanceOf<PeerResult.NotSent>()
            }
        }
    })
