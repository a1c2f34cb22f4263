package org.jacinthlink.decision.watch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class WatchRenewalSpec :
    DescribeSpec({
        fun at(revision: Long, era: Long = 1) = StorePosition(era, revision)

        fun peer(name: String, ageMs: Long? = 100, isDraining: Boolean = false) =
            WatchingPeer(name, ageMs, isDraining)

        describe("the routers that renew their watches often") {
            // Guards against calls to the store that grow with the number of routers.
            it("are two of a fleet") {
                val names = listOf("a", "b", "c", "d")
                names.filter { own ->
                    renewsOften(own, (names - own).map { peer(it) }, FRESH_MS)
                } shouldBe listOf("a", "b")
            }

            it("are all of a fleet that cannot read the store") {
                val names = listOf("a", "b", "c")
                names.all { own ->
                    renewsOften(own, (names - own).map { peer(it, FRESH_MS + 1) }, FRESH_MS)
                } shouldBe true
            }

            it("are others if the first ones drain or have never read the store") {
                val peers = listOf(peer("a", isDraining = true), peer("b", ageMs = null))
                renewsOften("c", peers, FRESH_MS) shouldBe true
            }
        }

        describe("a pending watch") {
            val watch = PendingWatch(at(10), sentAtMs = 1_000, limitMs = 3_000)

            it("waits while its time is not up and no peer is ahead") {
                WatchRenewal().cause(watch, at(10), 4_000) shouldBe null
            }

            it("is renewed when its time is up") {
                WatchRenewal().cause(watch, at(0), 4_001) shouldBe RenewalCause.OVERDUE
            }

            // Guards against a silent watch that is waited for although a peer has later changes.
            it("is renewed once when a peer stays ahead") {
                val renewal = WatchRenewal()
                renewal.cause(watch, at(12), 2_000) shouldBe null
                renewal.cause(watch, at(12), 2_801) shouldBe RenewalCause.PEER_AHEAD
                renewal.cause(watch.copy(sentAtMs = 2_801), at(12), 3_700) shouldBe null
            }

            // Guards against a peer that makes others call the store all the time.
            it("is not renewed again and again while the peer is ahead by the same change") {
                val renewal = WatchRenewal()
                renewal.cause(watch, at(Long.MAX_VALUE), 1_500)
                (2_000L..4_000L step 100).count {
                    renewal.cause(watch, at(Long.MAX_VALUE), it) != null
                } shouldBe 1
            }

            it("waits as long for the answer to a call that has just been sent") {
                val renewal = WatchRenewal()
                renewal.cause(watch, at(12), 2_000)
                renewal.cause(watch.copy(sentAtMs = 2_700), at(12), 2_900) shouldBe null
            }

            // Guards against a small router that asks for answers faster than it reads them.
            it("waits twice as long after a renewal without an answer") {
                val renewal = WatchRenewal()
                val second = watch.copy(sentAtMs = 2_801, limitMs = 60_000)
                renewal.cause(watch, at(12), 2_000)
                renewal.cause(watch, at(12), 2_801) shouldBe RenewalCause.PEER_AHEAD
                renewal.cause(second, at(13), 3_000) shouldBe null
                renewal.cause(second, at(13), 4_600) shouldBe null
                renewal.cause(second, at(13), 4_601) shouldBe RenewalCause.PEER_AHEAD
                renewal.answered()
                val third = PendingWatch(at(13), sentAtMs = 5_000, limitMs = 60_000)
                renewal.cause(third, at(14), 5_000) shouldBe null
                renewal.cause(third, at(14), 5_801) shouldBe RenewalCause.PEER_AHEAD
            }

            // Guards against a silent watch that is waited for as long as changes keep coming.
            it("is renewed although peers receive further changes all the time") {
                val renewal = WatchRenewal()
                val causes = (2_000L..2_900L step 100).map { nowMs ->
                    renewal.cause(watch, at(nowMs), nowMs)
                }
                causes.last() shouldBe RenewalCause.PEER_AHEAD
                causes.count { it != null } shouldBe 1
            }

            // Guards against renewals of a watch that gets changes a moment after its peers.
            it("waits while it is answered, although peers are ahead all the time") {
                val renewal = WatchRenewal()
                val causes = (2_000L..6_000L step 100).map { nowMs ->
                    renewal.answered()
                    val next = PendingWatch(at(nowMs - 150), sentAtMs = nowMs - 50, limitMs = 3_000)
                    renewal.cause(next, at(nowMs), nowMs)
                }
                causes.filterNotNull() shouldBe emptyList()
            }

            // Guards against a watch that waits for revisions which the store gives out again.
            it("is renewed when a peer knows a later era of the store, at a lower revision") {
                val renewal = WatchRenewal()
                renewal.cause(watch, at(3, era = 2), 2_000) shouldBe null
                renewal.cause(watch, at(3, era = 2), 2_801) shouldBe RenewalCause.PEER_AHEAD
            }

            // Guards against renewals for peers that have not noticed the new era yet.
            it("waits while the peers have higher revisions of a former era") {
                val renewal = WatchRenewal()
                renewal.cause(watch, at(12, era = 0), 2_000) shouldBe null
                renewal.cause(watch, at(12, era = 0), 2_801) shouldBe null
            }
        }
    })

private const val FRESH_MS = 4_000L
