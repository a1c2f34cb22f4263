package org.jacinthlink.decision.configuration

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.jacinthlink.api.Configuration
import org.jacinthlink.api.ConfigurationChange
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Success
import org.jacinthlink.api.WorkClass

class ConfigurationMergeSpec :
    DescribeSpec({
        fun put(id: String, workClass: WorkClass) = ConfigurationChange.PutClass(id, workClass)

        fun Outcome<Configuration>.document() =
            shouldBeInstanceOf<Success<Configuration>>().value
        val urgent = WorkClass("urgent", targetMs = 500, worth = 100)

        describe("a change") {
            it("takes effect once if it is applied again after a lost response") {
                val once = applyChange(Configuration(), put("c1", urgent)).document()
                val other = put("c2", urgent.copy(worth = 5))
                val later = applyChange(once, other).document()
                applyChange(later, put("c1", urgent)).document() shouldBe later
            }
            it("is refused for each value outside its range") {
                listOf(
                    urgent.copy(name = "Urgent"),
                    urgent.copy(name = ""),
                    urgent.copy(targetMs = 0),
                    urgent.copy(targetMs = 86_400_001),
                    urgent.copy(tokenGapMs = 0),
                    urgent.copy(worth = 0),
                    urgent.copy(worth = 10_001)
                ).forEach {
                    applyChange(Configuration(), put("c", it))
                        .shouldBeInstanceOf<Failure>().code shouldBe
                        ResultCode.CONFIGURATION_INVALID
                }
            }
            it("is refused for a class or fingerprint that does not exist") {
                listOf(
                    ConfigurationChange.RemoveClass("c", "none"),
                    ConfigurationChange.Release("c", "none")
                ).forEach {
                    applyChange(Configuration(), it)
                        .shouldBeInstanceOf<Failure>().code shouldBe ResultCode.NOT_FOUND
                }
            }
        }

        describe("the document") {
            it("stays bounded (value too large for the key-value service)") {
                var document = Configuration()
                repeat(1_000) { index ->
                    val change =
                        ConfigurationChange.Quarantine("q$index", "f$index", index.toLong())
                    document = applyChange(document, change).document()
                }
                document.quarantine.keys shouldBe (488..999).map { "f$it" }.toSet()
                document.recentChangeIds shouldBe (936..999).map { "q$it" }
                repeat(64) { index ->
                    val change = put("p$index", urgent.copy(name = "c$index"))
                    document = applyChange(document, change).document()
                }
                applyChange(document, put("p64", urgent)).shouldBeInstanceOf<Failure>()
                applyChange(document, put("p65", urgent.copy(name = "c3"))).document()
            }
            it("is replaced only by one of a higher revision") {
                val low = Configuration(revision = 4)
                val high = Configuration(revision = 5)
                newer(low, high) shouldBe high
                newer(high, low) shouldBe high
            }
        }
    })
