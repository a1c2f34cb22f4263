package org.jacinthlink.decision.paths

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class SharedSilenceSpec :
    DescribeSpec({
        describe("the servers of a silent path that are asked together") {
            // Guards against whole zones that weak machines take as dead: seen in trouble-1 of the
            // grown ubcls-router, all 20 servers of a zone by 23 routers within 4 s.
            it("are not taken as dead when most of them do not answer") {
                isLocalDelay(asked = 20, unanswered = 20) shouldBe true
                isLocalDelay(asked = 20, unanswered = 12) shouldBe true
            }

            it("are taken as dead one by one") {
                isLocalDelay(asked = 20, unanswered = 1) shouldBe false
                isLocalDelay(asked = 20, unanswered = 4) shouldBe false
            }
        }

        describe("a server that is asked alone") {
            it("is judged by its own answer") {
                isLocalDelay(asked = 1, unanswered = 1) shouldBe false
            }
        }

        describe("the word of a peer that a server is silent") {
            // Guards against streams that wait for an answer to every router's own question: seen
            // in trouble-1 of ubcls-router-grown, 34 routers with one or two streams each.
            it("is borne out by one stream that stands still for long") {
                confirmsSuspicion(listOf(115L)) shouldBe true
                confirmsSuspicion(listOf(80L)) shouldBe false
            }

            it("is borne out by several streams that stand still together") {
                confirmsSuspicion(listOf(70L, 80L, 90L)) shouldBe true
                confirmsSuspicion(listOf(70L, 80L, 20L)) shouldBe false
            }

            it("is not borne out without streams") {
                confirmsSuspicion(emptyList()) shouldBe false
            }
        }

        describe("a stream through a server that is found silent") {
            // Guards against streams that wait 2.6 s for their engines to give up, because an
            // event was on its way when the server was found silent: seen in trouble-1 of
            // ubcls-router-grown, 15 streams.
            it("leaves later if an event came just before") {
                shouldLeaveUnresponsiveServer(ageMs = 25, isNewlyDetected = true) shouldBe false
                shouldLeaveUnresponsiveServer(ageMs = 85, isNewlyDetected = false) shouldBe true
            }

            it("leaves at once if it has had no event for a while") {
                shouldLeaveUnresponsiveServer(ageMs = 45, isNewlyDetected = true) shouldBe true
            }

            // Guards against streams that leave a living server because of one late answer.
            it("stays while its events go on") {
                shouldLeaveUnresponsiveServer(ageMs = 60, isNewlyDetected = false) shouldBe false
            }
        }
    })
