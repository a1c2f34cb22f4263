package org.jacinthlink.transport

import io.kotest.core.spec.style.DescribeSpec
import io.netty.channel.nio.NioEventLoop
import io.netty.channel.nio.NioTask
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.ByteBuffer
import java.nio.channels.Pipe
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

class EventLoopSpec :
    DescribeSpec({
        val loop = eventLoop("test")
        afterSpec { loop.stop() }

        /** Runs [test] with what is written to standard error meanwhile. */
        fun withErrors(test: (errors: () -> String) -> Unit) {
            val former = System.err
            val errors = ByteArrayOutputStream()
            System.setErr(PrintStream(errors, true))
            try {
                test { errors.toString() }
            } finally {
                System.setErr(former)
            }
        }

        describe("a periodic task") {
            // Guards against a router that no longer places layers or follows its peers after one
            // value that a decision could not handle.
            it("goes on after a run that has failed") {
                val runs = AtomicInteger()
                loop.repeat(5) { check(runs.incrementAndGet() > 1) { "first run" } }
                await { runs.get() >= 3 }
            }

            // Guards against the same after one decision that nested too deeply.
            it("goes on after a run that has used up the stack, and reports it") {
                withErrors { errors ->
                    val runs = AtomicInteger()
                    loop.repeat(5) {
                        if (runs.incrementAndGet() == 1) throw StackOverflowError("first run")
                    }
                    await { runs.get() >= 3 }
                    await { "periodic task failed" in errors() && "first run" in errors() }
                }
            }
        }

        describe("an event loop") {
            // Guards against connections that all close at once without any trace of the cause.
            it("reports its end and the cause, unless it was stopped") {
                withErrors { errors ->
                    val ending = eventLoop("ending")
                    ending.endWith(StackOverflowError("end of the loop"))
                    await { "event loop: ended" in errors() && "end of the loop" in errors() }
                }
            }

            // Guards against a process that lives on and answers nobody.
            it("says that it is broken when it has ended") {
                val causes = CopyOnWriteArrayList<String>()
                val ending = eventLoop("ending", Causes(causes))
                ending.endWith(OutOfMemoryError("end of the loop"))
                await { causes.any { "ended" in it } }
                check(causes.any { "end of the loop" in it }) { causes }
            }

            // Guards against a loop that goes on with half of its work for want of memory.
            it("says that it is broken when a task or a handler has run out of memory") {
                val causes = CopyOnWriteArrayList<String>()
                val broken = eventLoop("broken", Causes(causes))
                broken.execute { throw OutOfMemoryError("in a task") }
                await { causes.any { "in a task" in it } }
                val handler = ServerHandler { _, _ -> throw OutOfMemoryError("in a handler") }
                val address = freeAddress().also { listen(broken, it, { WIDE_LIMITS }, handler) }
                address.connectAndSend("GET / HTTP/1.1\r\nHost: h\r\n\r\n").use {
                    await { causes.any { "in a handler" in it } }
                }
                broken.stop()
            }

            it("is not broken by an exception or by a stack that was used up") {
                val causes = CopyOnWriteArrayList<String>()
                val whole = eventLoop("whole", Causes(causes))
                whole.execute { error("in a task") }
                whole.execute { throw StackOverflowError("in a task") }
                whole.call { }
                whole.stop()
                await { whole.group.isTerminated }
                check(causes.isEmpty()) { causes }
            }

            it("reports nothing when it is stopped") {
                withErrors { errors ->
                    val stopped = eventLoop("stopped")
                    stopped.call { }
                    stopped.stop()
                    await { stopped.group.isTerminated }
                    check("event loop: ended" !in errors()) { errors() }
                }
            }
        }
    })

/** Keeps the causes in [causes]. */
private class Causes(private val causes: MutableList<String>) : LoopOwner {
    override fun onBroken() = Unit

    override fun onCause(cause: String) {
        causes.add(cause)
    }
}

/** Lets the code that handles sockets fail with [error]. */
private fun EventLoop.endWith(error: Error) {
    val pipe = Pipe.open()
    pipe.source().configureBlocking(false)
    val failing =
        object : NioTask<SelectableChannel> {
            override fun channelReady(channel: SelectableChannel, key: SelectionKey) = throw error

            override fun channelUnregistered(channel: SelectableChannel, cause: Throwable?) = Unit
        }
    (group.next() as NioEventLoop).register(pipe.source(), SelectionKey.OP_READ, failing)
    pipe.sink().write(ByteBuffer.wrap(byteArrayOf(1)))
}
