package org.jacinthlink.transport

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel

class PacedInputSpec :
    DescribeSpec({
        describe("a connection whose peer has used its share of a turn") {
            it("is not read until its bytes have been handled") {
                val loop = StoppedLoop()
                val channel = loop.connectionWithHeldBytes()
                channel.config().isAutoRead shouldBe false
                channel.inboundMessages().size shouldBe 0
                loop.endTurn()
                channel.config().isAutoRead shouldBe true
                channel.readInbound<ByteBuf>().readableBytes() shouldBe HELD_BYTES
            }

            // Guards against a paused connection that is read on because its bytes were held.
            it("stays paused after that if its user wants no more") {
                val loop = StoppedLoop()
                val channel = loop.connectionWithHeldBytes()
                channel.pipeline().get(PacedInput::class.java).isWanted = false
                loop.endTurn()
                channel.config().isAutoRead shouldBe false
            }

            // Guards against memory outside the heap that is lost with each closed connection.
            it("gives its bytes up when it is closed") {
                val loop = StoppedLoop()
                val bytes = Unpooled.buffer(HELD_BYTES).writeZero(HELD_BYTES)
                val channel = loop.connectionWithHeldBytes(bytes)
                channel.close()
                bytes.refCnt() shouldBe 0
                loop.turns.heldCount shouldBe 0
            }
        }
    })

/** A loop whose turn ends on demand, and whose clock moves on by a second at each look. */
private class StoppedLoop {
    private var nowNs = 0L
    private val tasks = ArrayDeque<Runnable>()
    val turns = InputTurns({ nowNs.also { nowNs += NANOS_PER_S } }, tasks::addLast, tasks::addLast)

    /** A connection that holds [bytes], because its peer has sent others before. */
    fun connectionWithHeldBytes(
        bytes: ByteBuf = Unpooled.buffer(HELD_BYTES).writeZero(HELD_BYTES)
    ): EmbeddedChannel {
        val peer = InputPeer.ClientHost("a")
        EmbeddedChannel(PacedInput(turns, peer)).writeInbound(Unpooled.buffer(1).writeZero(1))
        return EmbeddedChannel(PacedInput(turns, peer)).also { it.writeInbound(bytes) }
    }

    /** Runs the tasks of a turn, after the sockets have been read. */
    fun endTurn() = tasks.removeFirst().run()
}

private const val HELD_BYTES = 10
private const val NANOS_PER_S = 1_000_000_000L
