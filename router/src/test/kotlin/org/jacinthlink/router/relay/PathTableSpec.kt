package org.jacinthlink.router.relay

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.jacinthlink.decision.fleet.Accelerator
import org.jacinthlink.decision.fleet.EngineProfile
import org.jacinthlink.decision.fleet.ServiceDefinition
import org.jacinthlink.platform.store.StoreItem
import org.jacinthlink.router.decisionLog
import org.jacinthlink.router.state.ServerRegistry
import org.jacinthlink.router.state.readAll

class PathTableSpec :
    DescribeSpec({
        describe("the paths of two model services") {
            // Guards against a stream that leaves a working path although its service has no other.
            it("are no alternatives for each other's streams") {
                val registry = ServerRegistry(decisionLog("test"), { 0L }) {}
                registry.readAll(listOf(entry("m1", "a"), entry("m2", "b")))
                val paths =
                    PathTable(decisionLog("test"), registry, ServerThrottle(), "a") { emptySet() }
                val services = listOf("m1", "m2").map {
                    ServiceDefinition(it, "/health", 10, ENGINE)
                }
                services.forEach { paths.paths(it, emptySet()).size shouldBe 1 }
                paths.hasAlternative(services[0], emptySet(), "a", 10, 0) shouldBe false
                paths.hasAlternative(services[0], emptySet(), "b", 10, 0) shouldBe true
            }
        }
    })

private fun entry(service: String, zone: String) =
    StoreItem(
        "servers/$service",
        """{"service":"$service","address":"10.0.0.1:${service.last()}","zone":"$zone",
        "state":"ready","slots":9,"kind":"card","born":1,"layers":{"from":0,"to":8,"version":1}}"""
            .toByteArray(),
        1,
        1,
        0
    )

private val ENGINE =
    EngineProfile(
        slots = 9,
        layerCount = 8,
        layerMb = 100.0,
        tokenBytes = 100_000.0,
        activationBytes = 1.0,
        loadS = 1.0,
        loadsAtOnce = 1,
        stepMs = 1.0,
        stepsPerPass = 2,
        prefillTokensPerS = 1_000.0,
        usualPromptTokens = 10,
        usualAnswerTokens = 10,
        accelerators = mapOf("card" to Accelerator(2_000.0, 1.0, 1.0))
    )
