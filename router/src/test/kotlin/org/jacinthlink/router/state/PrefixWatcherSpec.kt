package org.jacinthlink.router.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
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
                val listener = object : PrefixListener {
                    override fun onSnapshot(items: List<StoreItem>) = Unit

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
    })

/** Later than a watch is renewed, and much earlier than it is overdue. */
private const val LATE_MS = 1_500L
private const val WAIT_MS = 10_000L
