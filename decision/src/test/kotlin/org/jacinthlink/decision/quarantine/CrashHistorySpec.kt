package org.jacinthlink.decision.quarantine

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class CrashHistorySpec :
    DescribeSpec({
        val limits = CrashLimits(expiryMs = 100, maxFingerprints = 3)

        fun CrashHistory.with(fingerprint: String, id: String, atMs: Long, isolated: Boolean) =
            recordCrash(this, fingerprint, CrashRecord(id, atMs, isolated), limits)

        fun CrashHistory.mode(fingerprint: String, nowMs: Long) =
            runMode(this, fingerprint, nowMs, limits)

        describe("a request that crashes backend servers") {
            it("is isolated after the first crash and refused after the second") {
                val once =
                    CrashHistory().with("f", "c1", 0, false).with("harmless", "c1", 0, false)
                once.mode("f", 1) shouldBe RunMode.ISOLATED
                val twice = once.with("f", "c2", 50, true)
                twice.mode("f", 51) shouldBe RunMode.REFUSED
                twice.mode("harmless", 51) shouldBe RunMode.ISOLATED
                twice.mode("other", 51) shouldBe RunMode.NORMAL
            }
            // Guards against a crash that is counted once for each stream and each entry process
            // that reports it.
            it("counts a crash once by its id") {
                val again =
                    CrashHistory().with("f", "c1", 0, true).with("f", "c1", 1, true)
                again.mode("f", 2) shouldBe RunMode.ISOLATED
            }
            // Guards against the quarantine of a harmless content whose copies shared steps with
            // another content, and against a crash in a shared step that does not count after a
            // crash of an isolated run.
            it("counts one crash in a shared step, before or after an isolated one") {
                val shared =
                    CrashHistory().with("f", "c1", 0, false).with("f", "c2", 1, false)
                shared.mode("f", 2) shouldBe RunMode.ISOLATED
                val after = CrashHistory().with("f", "c1", 0, true).with("f", "c2", 1, false)
                after.mode("f", 2) shouldBe RunMode.REFUSED
            }
            it("is cleared only of the crashes with the given ids") {
                val twice = CrashHistory().with("f", "c1", 0, false).with("f", "c2", 1, true)
                clearCrashes(twice, "f", setOf("c1")).mode("f", 2) shouldBe RunMode.ISOLATED
                clearCrashes(twice, "f", setOf("c1", "c2")) shouldBe CrashHistory()
            }
            it("has each of its crashes expire separately") {
                val second = CrashHistory().with("f", "c1", 0, false).with("f", "c2", 50, true)
                second.mode("f", 100) shouldBe RunMode.ISOLATED
                second.mode("f", 150) shouldBe RunMode.NORMAL
            }
            it("does not let the number of fingerprints grow without bound") {
                val history =
                    (1..10).fold(CrashHistory()) { accumulated, index ->
                        accumulated.with("f$index", "c$index", index.toLong(), false)
                    }
                history.crashes.keys shouldBe setOf("f8", "f9", "f10")
            }
        }
    })
