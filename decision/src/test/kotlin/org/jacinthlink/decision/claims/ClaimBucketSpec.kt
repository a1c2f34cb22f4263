package org.jacinthlink.decision.claims

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Success
import org.jacinthlink.api.WorkspaceId

class ClaimBucketSpec :
    DescribeSpec({
        fun begin(key: String, nonce: String, hash: String = "h") =
            ClaimOperation.Begin(key, hash, nonce, dueAtMs = 100)

        fun decisions(vararg operations: ClaimOperation, limits: ClaimLimits = ClaimLimits()) =
            applyOperations(ClaimBucket.of(), operations.toList(), 0, limits).decisions
        val result = RecordedResult(201, mapOf("a" to "b"), "booked \"ü\"")

        describe("one batch of operations") {
            it("gives a key to the first of two attempts (double execution)") {
                val held = decisions(begin("k", "n1"), begin("k", "n2"))[1]
                held.shouldBeInstanceOf<ClaimDecision.Held>().claim.nonce shouldBe "n1"
            }
            it("refuses a key that is bound to another body") {
                decisions(begin("k", "n1"), begin("k", "n2", "other"))[1] shouldBe
                    ClaimDecision.KeyReused
            }
            it("does not cancel a claim of another attempt (false 'not run')") {
                decisions(begin("k", "n1"), ClaimOperation.Cancel("k", "h", "n2"))[1]
                    .shouldBeInstanceOf<ClaimDecision.Held>()
            }
            it("replays a recorded result and does not record one above the size limit") {
                val large = result.copy(body = "x".repeat(20_000))
                decisions(
                    begin("k", "n1"),
                    ClaimOperation.Complete("k", "h", "n1", result),
                    begin("k", "n2"),
                    begin("l", "n3"),
                    ClaimOperation.Complete("l", "h", "n3", large),
                    begin("l", "n4")
                ).filterIsInstance<ClaimDecision.Done>().map { it.result } shouldBe
                    listOf(result, result, null, null)
            }
        }

        describe("a full bucket") {
            it("refuses new claims, stays within its limit and still completes existing ones") {
                val limits = ClaimLimits(maxBucketBytes = 5_000)
                val begins = (1..100).map { begin("key$it", "n$it") }
                val filled = applyOperations(ClaimBucket.of(), begins, 0, limits)
                val owned = filled.decisions.count { it == ClaimDecision.Owned }
                filled.decisions.drop(owned).toSet() shouldBe setOf(ClaimDecision.Full)
                val completes =
                    (1..owned).map {
                        ClaimOperation.Complete("key$it", "h", "n$it", result)
                    }
                val completed = applyOperations(filled.bucket, completes, 0, limits).bucket
                completed.claims.values.sumOf { it.json.length + 1 } shouldBeLessThanOrEqualTo 5_100
                completed.claims.values.map { it.state }.toSet() shouldBe setOf(ClaimState.DONE)
            }
        }

        describe("a bucket within its default limit") {
            it("holds 1,500 calls with results of 200 bytes (growth of the encoding)") {
                val answer = RecordedResult(200, emptyMap(), "x".repeat(200))
                val calls =
                    (1..5_000).flatMap { index ->
                        val key = "4:shop:" + "$index".padStart(36, '0')
                        val (nonce, hash) = key.takeLast(36) to "h".repeat(64)
                        listOf(
                            ClaimOperation.Begin(key, hash, nonce, 1_700_000_000_000),
                            ClaimOperation.Complete(key, hash, nonce, answer)
                        )
                    }
                val change = applyOperations(ClaimBucket.of(), calls, 1_700_000_000_000)
                val recorded = change.decisions.count { it == ClaimDecision.Done(answer) }
                println("claims: capacity of $recorded calls with results of 200 bytes")
                recorded shouldBeGreaterThan 1_500
            }
        }

        describe("pruning") {
            it("keeps a claim until its retention and the clock skew have elapsed") {
                val limits = ClaimLimits(retentionMs = 1_000, clockSkewMs = 50)
                val bucket =
                    applyOperations(ClaimBucket.of(), listOf(begin("k", "n")), 0, limits).bucket
                prune(bucket, 1_049, limits).claims.size shouldBe 1
                prune(bucket, 1_050, limits).claims.size shouldBe 0
            }
        }

        describe("the codec") {
            it("restores a bucket with results") {
                val bucket =
                    applyOperations(
                        ClaimBucket.of(),
                        listOf(
                            begin("k", "n"),
                            ClaimOperation.Complete("k", "h", "n", result),
                            begin("l", "m")
                        ),
                        0
                    ).bucket
                val slice = ClaimSlice(7, 5, isSealed = true, bucket)
                decodeSlice(encodeSlice(slice)) shouldBe Success(slice)
            }
            it("does not take an unreadable value as an empty bucket (double execution)") {
                val cut = encodeSlice(ClaimSlice(0, 0, false, ClaimBucket.of())).dropLast(8)
                listOf("{\"claims\":[{\"k\":1}]}", "{}", "", "garbage", "%", cut).forEach {
                    withClue(it) { decodeSlice(it).shouldBeInstanceOf<Failure>() }
                }
            }
            it("reads a bucket of an earlier version as the first slice (lost claims)") {
                val claim = Claim("k", "h", "n", ClaimState.CLAIMED, 1, 2, 3)
                val slice = ClaimSlice(0, 0, isSealed = false, ClaimBucket.of(listOf(claim)))
                decodeSlice("{\"claims\":[${claim.json}]}") shouldBe Success(slice)
            }
        }

        describe("claim keys") {
            it("differ between workspaces, even if workspace and key concatenate to equal texts") {
                (claimKey(WorkspaceId("a:"), "b") == claimKey(WorkspaceId("a"), ":b")) shouldBe
                    false
            }
        }
    })
