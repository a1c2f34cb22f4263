package org.jacinthlink.router.peers

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.jacinthlink.decision.retry.AttemptCounts

class PeerTableSpec :
    DescribeSpec({
        fun news(instance: String) = GossipMessage(instance, "10.0.0.${instance.length}", 0)

        describe("routers that have been heard of") {
            it("are alive until several datagrams in a row are lost") {
                val table = PeerTable("own")
                table.hear(news("a"), 0) shouldBe true
                table.hear(news("a"), 200) shouldBe false
                table.alive(1_700).map { it.instance } shouldContainExactly listOf("a")
                table.alive(1_701).shouldBeEmpty()
            }

            // Guards against a retry budget that is used twice, by both sides of a cut or by one
            // that has forgotten its sends in a restart.
            it("still count with their sends when they are silent or started anew") {
                val table = PeerTable("own")
                table.hear(news("a").copy(firstSends = 50, repeats = 7), 0)
                table.hear(news("b").copy(firstSends = 30, repeats = 2), 0)
                table.hear(news("b").copy(startedAtMs = 5_000), 5_000)
                table.sends(5_000, 10_000) shouldBe AttemptCounts(80, 9)
                table.sends(10_001, 10_000) shouldBe AttemptCounts(0, 0)
                table.size shouldBe 2
            }

            it("do not include this router") {
                val table = PeerTable("own")
                table.hear(news("own"), 0) shouldBe false
                table.alive(0).shouldBeEmpty()
            }

            // Guards against datagrams that are sent for ever to machines that were replaced.
            it("are forgotten after a long silence") {
                val table = PeerTable("own")
                table.hear(news("a"), 0)
                table.forget(30_001).map { it.instance } shouldContainExactly listOf("a")
                table.hosts.shouldBeEmpty()
            }
        }
    })
