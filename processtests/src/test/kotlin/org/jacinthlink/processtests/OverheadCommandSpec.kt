package org.jacinthlink.processtests

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.double
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.jacinthlink.cli.site.DaemonProcess

class OverheadCommandSpec :
    DescribeSpec({
        val folder = tempdir()

        describe("measure overhead with few requests") {
            // Guards against a comparison that misses a kind of work or a way.
            it("writes positive times of each kind of work on both ways") {
                val log = folder.resolve("measure.log")
                val json = folder.resolve("overhead.json")
                val options = listOf("--requests", "3", "--warm-up", "1", "--json", json.path)
                val arguments = listOf("measure", "overhead") + options
                val classPath = System.getProperty("java.class.path")
                val command =
                    DaemonProcess.start("measure", "", log.toPath(), classPath, arguments)
                val hasEnded = command.awaitEnd(100_000)
                // A command that is still running ends its own processes on SIGTERM.
                command.drain()
                withClue(log.readText()) { hasEnded shouldBe true }
                val report = Json.parseToJsonElement(json.readText()).jsonObject
                KINDS.forEach { kind -> withClue(kind) { check(report.child(kind)) } }
                // The parser calls the parent command as well, which measures decisions.
                log.readText() shouldNotContain "head_choice"
            }
        }
    })

private val KINDS = listOf("firstTokenMs", "tokenGapMs", "plainGetMs", "keyedPostMs")

private fun JsonObject.child(name: String) = getValue(name).jsonObject

private fun JsonObject.number(name: String) = getValue(name).jsonPrimitive.double

private fun check(overhead: JsonObject) {
    listOf("throughEntryMs", "directMs").map(overhead::child).forEach {
        it.number("p50") shouldBeGreaterThan 0.0
        it.number("p95") shouldBeGreaterThan 0.0
    }
    listOf("addedP50Ms", "addedP95Ms").forEach(overhead::number)
}
