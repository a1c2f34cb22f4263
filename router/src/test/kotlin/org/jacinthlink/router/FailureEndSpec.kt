package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain
import java.net.Socket
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import org.jacinthlink.router.standins.WIDE_LIMITS
import org.jacinthlink.transport.Address
import org.jacinthlink.transport.ServerHandler
import org.jacinthlink.transport.eventLoop
import org.jacinthlink.transport.listen

class FailureEndSpec :
    DescribeSpec({
        /** Output of a process that uses up its heap, which has to end with a failure. */
        fun outputOfFullProcess(vararg options: String): String {
            val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            val classPath = System.getProperty("java.class.path")
            val main = "org.jacinthlink.router.FailureEndSpecKt"
            val command = listOf(java, "-Xmx32m", *options, "-cp", classPath, main)
            val process = ProcessBuilder(command).redirectErrorStream(true).start()
            val output = CompletableFuture.supplyAsync {
                process.inputStream.readAllBytes().decodeToString()
            }
            val hasEnded = process.waitFor(WAIT_S, TimeUnit.SECONDS)
            if (!hasEnded) process.destroyForcibly()
            hasEnded shouldBe true
            process.exitValue() shouldNotBe 0
            return output.get(WAIT_S, TimeUnit.SECONDS)
        }

        describe("a process that can't go on") {
            // Guards against a process that lives on and answers nobody after its loop has ended.
            it("says why and ends with a failure when its event loop has run out of memory") {
                outputOfFullProcess() shouldContain "OutOfMemoryError"
            }

            // Guards against the same when there is no memory for a class that the end needs.
            it("has loaded what it needs to end before its memory is full") {
                val output = outputOfFullProcess("-Xlog:class+load:stdout")
                val loadedAt = output.indexOf("java.lang.Shutdown source")
                loadedAt shouldBeGreaterThan 0
                loadedAt shouldBeLessThan output.indexOf(FILLS)
            }

            // Guards against the same where the error itself could not be noticed.
            it("ends when its event loop no longer runs") {
                val status = CompletableFuture<Int>()
                FailureEnd(status::complete).watch { false }
                status.get(WAIT_S, TimeUnit.SECONDS) shouldNotBe 0
            }
        }
    })

private const val WAIT_S = 20L

/** What the process says before it uses up its heap. */
private const val FILLS = "uses up the heap"

/** A server whose handler uses up the heap. */
fun main() {
    val end = FailureEnd(Runtime.getRuntime()::halt)
    end.watchThreads()
    val loop = eventLoop("full", RouterLoopOwner(end, decisionLog("full")))
    end.watch { loop.isRunning }
    val held = ArrayList<ByteArray>()
    val handler = ServerHandler { _, _ ->
        println(FILLS)
        while (true) held.add(ByteArray(1_000_000))
    }
    val address = Address("127.0.0.1", 0)
    val listener = listen(loop, address, { WIDE_LIMITS }, handler)
    Socket("127.0.0.1", listener.port).use {
        it.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
        it.getInputStream().read()
    }
    Thread.currentThread().join()
}
