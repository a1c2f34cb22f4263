package org.jacinthlink.decision.retry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class StreamAttemptsSpec :
    DescribeSpec({
        fun rejected(count: Int, attempts: StreamAttempts) =
            repeat(count) {
                attempts.sent()
                attempts.notRun()
            }

        describe("a stream that may run again") {
            it("gives up when it has been rejected six times in a row") {
                val attempts = StreamAttempts(mayRunAgain = true)
                rejected(5, attempts)
                attempts.mayRetry shouldBe true
                rejected(1, attempts)
                attempts.mayRetry shouldBe false
                attempts.mayHaveRun shouldBe false
            }

            // Guards against a long stream that is cut because of rejections long ago.
            it("counts rejections anew after each event") {
                val attempts = StreamAttempts(mayRunAgain = true)
                rejected(5, attempts)
                attempts.sent()
                attempts.progressed()
                rejected(5, attempts)
                attempts.mayRetry shouldBe true
                attempts.count shouldBe 11
            }

            // Guards against a stream that is cut although its server would have gone on.
            it("does not give up because of rejections once it has begun") {
                val attempts = StreamAttempts(mayRunAgain = true)
                attempts.sent()
                attempts.progressed()
                attempts.awaitsResumption shouldBe false
                rejected(6, attempts)
                attempts.mayRetry shouldBe true
                attempts.awaitsResumption shouldBe true
            }

            it("runs six times at most") {
                val attempts = StreamAttempts(mayRunAgain = true)
                repeat(6) { attempts.sent() }
                attempts.mayRetry shouldBe false
            }
        }

        describe("a stream that has moved again and again") {
            // Guards against a stream that is cut because needless moves have used up its runs.
            it("keeps two runs for when its server is lost") {
                val attempts = StreamAttempts(mayRunAgain = true)
                repeat(3) { attempts.sent() }
                attempts.mayMove shouldBe true
                attempts.sent()
                attempts.mayMove shouldBe false
                attempts.sent()
                attempts.mayRetry shouldBe true
            }
        }

        describe("a stream that may run only once") {
            it("has no other attempt") {
                StreamAttempts(mayRunAgain = false).mayRetry shouldBe false
            }
        }
    })
