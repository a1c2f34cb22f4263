package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
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
        describe("a process that can't go on") {
            // Guards against a process that lives on and answers nobody after its loop has ended.
            it("says why and ends with a failure when its event loop has run out of memory") {
                val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
                val process =
                    ProcessBuilder(
                        java,
                        "-Xmx32m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.jacinthlink.router.FailureEndSpecKt"
                    ).redirectErrorStream(true).start()
                val output = CompletableFuture.supplyAsync {
                    process.inputStream.readAllBytes().decodeToString()
                }
                val hasEnded = process.waitFor(WAIT_S, TimeUnit.SECONDS)
                if (!hasEnded) process.destroyForcibly()
                hasEnded shouldBe true
                process.exitValue() shouldNotBe 0
                output.get(WAIT_S, TimeUnit.SECONDS) shouldContain "OutOfMemoryError"
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

/** A server whose handler uses up the heap. */
fun main() {
    val end = FailureEnd(Runtime.getRuntime()::halt)
    end.watchThreads()
    val loop = eventLoop("full", RouterLoopOwner(end, decisionLog("full")))
    end.watch { loop.isRunning }
    val held = ArrayList<ByteArray>()
    val handler = ServerHandler { _, _ -> while (true) held.add(ByteArray(1_000_000)) }
    val address = Address("127.0.0.1", 0)
    val listener = listen(loop, address, { WIDE_LIMITS }, handler)
    Socket("127.0.0.1", listener.port).use {
        it.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
        it.getInputStream().read()
    }
    Thread.currentThread().join()
}
