package org.jacinthlink.decision.quarantine

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class CrashSuspectsSpec :
    DescribeSpec({
        val limits = CrashLimits(expiryMs = 100, maxFingerprints = 3)

        describe("a request that crashes backend servers") {
            it("runs alone after the first crash and not at all after the second") {
                val once = recordCrash(CrashSuspects(), listOf("f", "innocent"), 0, limits)
                runMode(once, "f", 1, limits) shouldBe RunMode.ISOLATED
                val twice = recordCrash(once, listOf("f"), 50, limits)
                runMode(twice, "f", 51, limits) shouldBe RunMode.REFUSED
                runMode(twice, "innocent", 51, limits) shouldBe RunMode.ISOLATED
                runMode(twice, "other", 51, limits) shouldBe RunMode.NORMAL
            }
            it("is forgotten crash by crash") {
                val first = recordCrash(CrashSuspects(), listOf("f"), 0, limits)
                val second = recordCrash(first, listOf("f"), 50, limits)
                runMode(second, "f", 100, limits) shouldBe RunMode.ISOLATED
                runMode(second, "f", 150, limits) shouldBe RunMode.NORMAL
            }
            it("does not fill the memory with fingerprints") {
                val suspects =
                    (1..10).fold(CrashSuspects()) { held, index ->
                        recordCrash(held, listOf("f$index"), index.toLong(), limits)
                    }
                suspects.crashTimesMs.keys shouldBe setOf("f8", "f9", "f10")
            }
        }
    })
