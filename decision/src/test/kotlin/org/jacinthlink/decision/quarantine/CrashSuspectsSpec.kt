package org.jacinthlink.decision.quarantine

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class CrashSuspectsSpec :
    DescribeSpec({
        val limits = CrashLimits(expiryMs = 100, maxFingerprints = 3)

        fun CrashSuspects.with(fingerprint: String, id: String, atMs: Long, isolated: Boolean) =
            recordCrash(this, fingerprint, KnownCrash(id, atMs, isolated), limits)

        fun CrashSuspects.mode(fingerprint: String, nowMs: Long) =
            runMode(this, fingerprint, nowMs, limits)

        describe("a request that crashes backend servers") {
            it("is isolated after the first crash and refused after the second") {
                val once =
                    CrashSuspects().with("f", "c1", 0, false).with("innocent", "c1", 0, false)
                once.mode("f", 1) shouldBe RunMode.ISOLATED
                val twice = once.with("f", "c2", 50, true)
                twice.mode("f", 51) shouldBe RunMode.REFUSED
                twice.mode("innocent", 51) shouldBe RunMode.ISOLATED
                twice.mode("other", 51) shouldBe RunMode.NORMAL
            }
            // Guards against a crash that counts once for each stream and entry that reports it.
            it("counts a crash once by its id") {
                val again =
                    CrashSuspects().with("f", "c1", 0, true).with("f", "c1", 1, true)
                again.mode("f", 2) shouldBe RunMode.ISOLATED
            }
            // Guards against the quarantine of a harmless content whose copies shared steps with
            // another content, and against a crash in a shared step that does not count after a
            // crash of an isolated run.
            it("counts one crash in a shared step, before or after an isolated one") {
                val shared =
                    CrashSuspects().with("f", "c1", 0, false).with("f", "c2", 1, false)
                shared.mode("f", 2) shouldBe RunMode.ISOLATED
                val after = CrashSuspects().with("f", "c1", 0, true).with("f", "c2", 1, false)
                after.mode("f", 2) shouldBe RunMode.REFUSED
            }
            it("is cleared only of the crashes with the given ids") {
                val twice = CrashSuspects().with("f", "c1", 0, false).with("f", "c2", 1, true)
                clearCrashes(twice, "f", setOf("c1")).mode("f", 2) shouldBe RunMode.ISOLATED
                clearCrashes(twice, "f", setOf("c1", "c2")) shouldBe CrashSuspects()
            }
            it("has each of its crashes expire separately") {
                val second = CrashSuspects().with("f", "c1", 0, false).with("f", "c2", 50, true)
                second.mode("f", 100) shouldBe RunMode.ISOLATED
                second.mode("f", 150) shouldBe RunMode.NORMAL
            }
            it("does not let the number of fingerprints grow without bound") {
                val suspects =
                    (1..10).fold(CrashSuspects()) { held, index ->
                        held.with("f$index", "c$index", index.toLong(), false)
                    }
                suspects.crashes.keys shouldBe setOf("f8", "f9", "f10")
            }
        }
    })
