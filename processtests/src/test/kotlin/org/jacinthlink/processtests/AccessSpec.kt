package org.jacinthlink.processtests

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import org.jacinthlink.api.Headers
import org.jacinthlink.api.ResultCode
import org.jacinthlink.cli.site.LocalSite
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.peerClient

class AccessSpec :
    DescribeSpec({
        val fleet = ProcessSite().start()
        val client = peerClient()
        afterSpec { fleet.close() }

        val peerPaths =
            listOf(
                "GET /v1/describe",
                "GET /v1/config",
                "POST /v1/config",
                "GET /v1/instances",
                "GET /v1/events",
                "POST /v1/drain",
                "POST /v1/crashes",
                "POST /v1/permits/ask",
                "POST /v1/permits/runs",
                "POST /v1/streams",
                "GET /v1/load",
                "POST /v1/hops",
                "POST /v1/tokens",
                "POST /v1/faults",
                "POST /v1/suspects",
                "POST /v1/reroute",
                "POST /v1/release",
                "POST /v1/calls",
                "POST /v1/calls/cancel"
            )
        val adminPaths =
            listOf(
                "GET /v1/admin/config",
                "GET /v1/admin/status",
                "PUT /v1/admin/classes/question",
                "DELETE /v1/admin/classes/question",
                "DELETE /v1/admin/quarantine/0"
            )

        fun code(address: String, route: String, headers: Map<String, String>): ResultCode? {
            val (method, path) = route.split(' ')
            val call = PeerCall(method, "http://$address$path", headers = headers)
            return client.call(call, 5_000, fresh = true).resultCode()
        }

        /** Checks that every process refuses every one of [routes] with each of [identities]. */
        fun shouldBeClosed(routes: List<String>, identities: List<Map<String, String>>) =
            fleet.launcher.processes.values.forEach { process ->
                routes.forEach { route ->
                    identities.forEach { headers ->
                        withClue("$route at ${process.name} with ${headers.keys}") {
                            code(process.address, route, headers) shouldBe
                                ResultCode.UNAUTHORIZED
                        }
                    }
                }
            }

        val operator = mapOf("authorization" to "Bearer ${LocalSite.OPERATOR_TOKEN}")
        val wrongPeer = mapOf(Headers.PEER_TOKEN to "not-the-peer-token")

        describe("the routes between processes") {
            // Guards against orders from callers and operators to the inside of the system.
            it("refuse callers, operators and a wrong token on every process") {
                shouldBeClosed(peerPaths, listOf(emptyMap(), operator, wrongPeer))
            }
        }

        describe("the routes of operators") {
            // Guards against changes by callers.
            it("refuse callers and a wrong token on every process") {
                val wrongOperator = mapOf("authorization" to "Bearer not-the-token")
                shouldBeClosed(adminPaths, listOf(emptyMap(), wrongOperator, wrongPeer))
                fleet.configuration(fleet.entryAddress(0)).classes.containsKey("question") shouldBe
                    true
            }
        }

        describe("the logs") {
            // Guards against secrets that reach whoever reads the logs.
            it("hold no token") {
                fleet.launcher.processes.values.forEach { process ->
                    val log = process.readLog()
                    log shouldNotContain LocalSite.OPERATOR_TOKEN
                    log shouldNotContain LocalSite.PEER_TOKEN
                }
            }
        }
    })
