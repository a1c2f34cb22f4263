package org.jacinthlink.router.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import java.util.Base64
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import org.jacinthlink.decision.watch.StorePosition
import org.jacinthlink.platform.store.StoreChange
import org.jacinthlink.platform.store.StoreClient
import org.jacinthlink.platform.store.StoreItem
import org.jacinthlink.router.decisionLog
import org.jacinthlink.router.standins.WIDE_LIMITS
import org.jacinthlink.router.standins.await
import org.jacinthlink.transport.Address
import org.jacinthlink.transport.ServerExchange
import org.jacinthlink.transport.ServerHandler
import org.jacinthlink.transport.eventLoop
import org.jacinthlink.transport.httpClient
import org.jacinthlink.transport.listen

class PrefixWatcherSpec :
    DescribeSpec({
        val loop = eventLoop("test")

        afterSpec { loop.stop() }

        fun ServerExchange.answer(json: String) = respond(200, emptyList(), json.toByteArray())

        /** Port of a store with one change, which answers the first watch late and no other. */
        fun slowStore(watches: AtomicInteger): Int {
            val value = Base64.getEncoder().encodeToString("new".toByteArray())
            val event = """{"key":"op/a","value":"$value","revision":11,"createdAt":1,"lease":0}"""
            val address = Address("127.0.0.1", 0)
            return listen(loop, address, { WIDE_LIMITS }) { request, exchange ->
                when {
                    request.path == "/v1/kv-range" ->
                        exchange.answer("""{"items":[],"truncated":false,"currentRev":10}""")
                    watches.incrementAndGet() == 1 ->
                        loop.schedule(LATE_MS) {
                            exchange.answer("""{"events":[$event],"currentRev":11}""")
                        }
                }
            }.port
        }

        describe("a watch that is renewed because a peer is ahead") {
            // Guards against a router that falls behind for good because it gives up answers that
            // are on their way, and asks for the same again.
            it("still takes the answer to its former call") {
                val watches = AtomicInteger()
                val changes = CopyOnWriteArrayList<StoreChange>()
                val listener = object : PrefixListener<StoreItem> {
                    override fun decode(item: StoreItem) = item

                    override fun onSnapshot(values: List<StoreItem>) = Unit

                    override fun onChange(change: StoreChange) {
                        changes.add(change)
                    }
                }
                val address = Address("127.0.0.1", slowStore(watches))
                val store = StoreClient(loop, httpClient(loop), address)
                val clockMs = { System.nanoTime() / 1_000_000 }
                val log = decisionLog("r")
                val watcher =
                    PrefixWatcher(loop, store, log, "op/", 0, WAIT_MS, clockMs, listener)
                loop.execute { watcher.start() }
                val ticks = loop.repeat(50) {
                    watcher.tick(clockMs(), WAIT_MS, StorePosition(0, 11))
                }
                await(5_000) { changes.isNotEmpty() }
                ticks.cancel()
                watches.get() shouldBeGreaterThan 1
                changes shouldHaveSize 1
            }
        }

        /** Starts to watch "servers/" in a store that answers with [handler]. */
        fun startWatch(listener: PrefixListener<String>, handler: ServerHandler) {
            val port = listen(loop, Address("127.0.0.1", 0), { WIDE_LIMITS }, handler).port
            val store = StoreClient(loop, httpClient(loop), Address("127.0.0.1", port))
            val clockMs = { System.nanoTime() / 1_000_000 }
            val log = decisionLog("r")
            loop.execute {
                PrefixWatcher(loop, store, log, "servers/", 0, WAIT_MS, clockMs, listener).start()
            }
        }

        fun item(key: String, value: ByteArray): String {
            val text = Base64.getEncoder().encodeToString(value)
            return """{"key":"servers/$key","value":"$text","revision":5,"createdAt":1,"lease":0}"""
        }

        describe("a listing of several pages") {
            // Guards against routers that end for want of memory because they keep the odd entries
            // of all pages until the last one (review case 6).
            it("keeps of each page only what is decoded of it") {
                val steps = CopyOnWriteArrayList<String>()
                val keys = listOf("a", "b", "c")
                startWatch(recorder(steps)) { request, exchange ->
                    if (request.path == "/v1/kv-range") {
                        val after = request.target.substringAfter("after=servers%2F", "")
                        val key = keys[keys.indexOf(after) + 1]
                        steps.add("page $key")
                        val isTruncated = key != keys.last()
                        val page = item(key, ByteArray(8))
                        exchange.answer(
                            """{"items":[$page],"truncated":$isTruncated,"currentRev":10}"""
                        )
                    }
                }
                await(5_000) { steps.lastOrNull().orEmpty().startsWith("all") }
                val perPage = keys.flatMap { listOf("page $it", "decoded servers/$it") }
                steps shouldBe perPage + "all [servers/a, servers/b, servers/c]"
            }
        }

        describe("changes that are too long for one answer") {
            // Guards against a router that stops following the servers, because it asks for the
            // same changes again and again (review case 6).
            it("are read by a new listing") {
                val steps = CopyOnWriteArrayList<String>()
                val listings = AtomicInteger()
                val event = item("odd", ByteArray(1_000_000))
                startWatch(recorder(steps)) { request, exchange ->
                    when {
                        request.path == "/v1/kv-range" -> {
                            val key = "b${listings.incrementAndGet()}"
                            val items = item(key, ByteArray(8))
                            exchange.answer(
                                """{"items":[$items],"truncated":false,"currentRev":10}"""
                            )
                        }
                        listings.get() == 1 -> {
                            val events = List(4) { event }.joinToString(",")
                            exchange.answer("""{"events":[$events],"currentRev":11}""")
                        }
                    }
                }
                await(5_000) { "all [servers/b2]" in steps }
                steps shouldContain "all [servers/b2]"
            }
        }
    })

/** Records in [steps] what is decoded, and each complete listing. */
private fun recorder(steps: MutableList<String>) =
    object : PrefixListener<String> {
        override fun decode(item: StoreItem): String {
            steps.add("decoded ${item.key}")
            return item.key
        }

        override fun onSnapshot(values: List<String>) {
            steps.add("all $values")
        }

        override fun onChange(change: StoreChange) = Unit
    }

/** Later than a watch is renewed, and much earlier than it is overdue. */
private const val LATE_MS = 1_500L
private const val WAIT_MS = 10_000L
