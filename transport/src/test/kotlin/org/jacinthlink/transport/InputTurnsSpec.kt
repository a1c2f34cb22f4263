package org.jacinthlink.transport

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe

class InputTurnsSpec :
    DescribeSpec({
        describe("the input of many sockets") {
            // Guards against a turn that takes as long as the peers have sent bytes.
            it("takes a bounded time of each turn, and all of it is handled in the end") {
                val world = World()
                repeat(SOCKETS) { world.read("a", it) }
                val turnsMs = world.endTurns()
                turnsMs.max() shouldBe 1 + 5
                world.handled shouldHaveSize SOCKETS
            }

            it("is handled in the order in which it came") {
                val world = World()
                repeat(SOCKETS) { world.read("a", it) }
                world.endTurns()
                world.handled shouldBe List(SOCKETS) { "a$it" }
            }
        }

        describe("the input of a peer") {
            // Guards against a peer with many sockets that takes the time of all others.
            it("is handled at once, although other peers have used their shares") {
                val world = World()
                repeat(SOCKETS) { world.read("a", it) }
                world.read("b", 0)
                world.handled shouldContain "b0"
            }

            it("waits for one share of each other peer at most") {
                val world = World()
                val others = List(8) { "x$it-" }
                repeat(SOCKETS) { socket -> others.forEach { world.read(it, socket) } }
                world.read("b", 0)
                world.handled.clear()
                world.endTurns()
                world.handled.indexOf("b0") shouldBe others.size
            }

            it("is not handled once its socket is closed") {
                val world = World()
                val inputs = List(3) { world.read("a", it) }
                world.handled shouldBe listOf("a0")
                inputs.filterNotNull().forEach(world.turns::remove)
                world.endTurns()
                world.handled shouldBe listOf("a0")
                world.turns.heldCount shouldBe 0
            }
        }

        describe("a peer whose input was held") {
            it("is reported once a second, with its work") {
                val world = World()
                val reports = ArrayList<String>()
                world.turns.observer =
                    InputObserver { peer, held, workMs -> reports.add("$peer $held $workMs") }
                repeat(3) { world.read("a", it) }
                world.endTurns()
                reports.shouldBeEmpty()
                world.nowNs += NANOS_PER_S
                world.read("b", 0)
                world.endTurns()
                reports shouldBe listOf("a 2 3")
            }
        }
    })

/** A loop whose clock moves on by a millisecond with each input that is handled. */
private class World {
    var nowNs = 0L
    val handled = ArrayList<String>()
    private val tasks = ArrayDeque<Runnable>()
    val turns = InputTurns({ nowNs }, tasks::addLast, tasks::addLast)

    /** Reads bytes of [socket] of [host]. Returns what is held of them. */
    fun read(host: String, socket: Int): HeldInput? {
        val peer = InputPeer.ClientHost(host)
        val work = {
            nowNs += NANOS_PER_MS
            handled.add("$host$socket")
            Unit
        }
        if (turns.admits(peer)) {
            turns.handle(peer, work)
            return null
        }
        val input =
            object : HeldInput {
                override val peer = peer

                override fun handle() = work()
            }
        turns.hold(input)
        return input
    }

    /** Ends this turn and all that follow. Returns how long they took, the reads included. */
    fun endTurns(): List<Long> {
        val turnsMs = ArrayList<Long>()
        var startedAtNs = 0L
        while (tasks.isNotEmpty()) {
            tasks.removeFirst().run()
            turnsMs.add((nowNs - startedAtNs) / NANOS_PER_MS)
            startedAtNs = nowNs
        }
        return turnsMs
    }
}

private const val SOCKETS = 20
private const val NANOS_PER_MS = 1_000_000L
private const val NANOS_PER_S = 1_000_000_000L
