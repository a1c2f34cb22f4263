package org.jacinthlink.decision.quarantine

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.RequestId

class ContentRunsSpec :
    DescribeSpec({
        val limits = CrashLimits(expiryMs = 100, maxFingerprints = 3)

        fun run(id: String, fingerprint: String = "f") =
            ContentRun(fingerprint, RequestId(id), InstanceId("e"))

        describe("copies of a content that was not answered yet") {
            // Guards against a third crash by copies that start before any crash is recorded.
            it("run two at a time, the second one isolated") {
                val runs = ContentRuns(limits)
                runs.permit(run("1"), 0, 0) shouldBe RunMode.NORMAL
                runs.permit(run("2"), 0, 0) shouldBe RunMode.ISOLATED
                runs.permit(run("3"), 0, 0) shouldBe RunMode.WAITING
                runs.permit(run("4", "other"), 0, 0) shouldBe RunMode.NORMAL
                runs.ended("f", RequestId("1"))
                runs.permit(run("3"), 0, 1) shouldBe RunMode.ISOLATED
            }
            // Guards against a run that starts while an earlier one may still crash a backend
            // server.
            it("count towards the limit together with the crashes") {
                val runs = ContentRuns(limits)
                runs.permit(run("1"), 0, 0) shouldBe RunMode.NORMAL
                runs.permit(run("2"), 0, 0) shouldBe RunMode.ISOLATED
                runs.permit(run("1"), 1, 1) shouldBe RunMode.WAITING
                runs.ended("f", RequestId("2"))
                runs.permit(run("1"), 1, 2) shouldBe RunMode.ISOLATED
                runs.permit(run("1"), 2, 3) shouldBe RunMode.REFUSED
            }
            it("are dropped when they have expired or are too many") {
                val runs = ContentRuns(limits)
                (1..4).forEach { runs.permit(run("$it", "f$it"), 0, 0) }
                runs.others(run("x", "f1"), 0) shouldBe emptyList()
                runs.others(run("x", "f4"), 99) shouldContainExactly listOf(run("4", "f4"))
                runs.others(run("x", "f4"), 100) shouldBe emptyList()
            }
        }
        describe("copies of a content that was answered") {
            // Guards against callers of a frequent content that wait for each other.
            it("run without limit until a crash") {
                val runs = ContentRuns(limits)
                runs.permit(run("1"), 0, 0)
                runs.answered("f", 1)
                (2..9).forEach { runs.permit(run("$it"), 0, 1) shouldBe RunMode.NORMAL }
                runs.permit(run("10"), 1, 2) shouldBe RunMode.WAITING
                runs.ended("f", RequestId("1"))
                runs.permit(run("10"), 1, 3) shouldBe RunMode.ISOLATED
            }
        }
    })
