package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.string.shouldStartWith
import org.jacinthlink.decision.quarantine.ContentId
import org.jacinthlink.decision.quarantine.HarmfulContent
import org.jacinthlink.decision.quarantine.contentQuarantine
import org.jacinthlink.platform.store.StoreClient
import org.jacinthlink.router.layout.LeadershipLease
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.StoreStandIn
import org.jacinthlink.router.standins.await
import org.jacinthlink.router.standins.configuration
import org.jacinthlink.router.standins.freePort
import org.jacinthlink.router.state.PresentTime
import org.jacinthlink.router.state.QuarantineStore
import org.jacinthlink.transport.eventLoop
import org.jacinthlink.transport.httpClient

/** The store returns from a copy that is some seconds old. */
class RestoredStoreSpec :
    DescribeSpec({
        /** Restores [copy] and calls [write] before the routers can reach the store again. */
        fun StoreStandIn.returnFrom(copy: StoreStandIn.Copy, write: () -> Unit) {
            isUnavailable = true
            Thread.sleep(OUTAGE_MS)
            restore(copy)
            write()
            isUnavailable = false
        }

        describe("a router whose store returns from a copy") {
            // Guards against a change of the configuration that is never read, because the store
            // has written it under a revision that the watch is already past.
            it("follows a change that has a revision of the former era") {
                RouterFixture().use { fixture ->
                    fixture.awaitLayers()
                    val store = fixture.store
                    val copy = store.copy()
                    repeat(CHANGE_COUNT) { store.write("op/note", "$it") }
                    Thread.sleep(READ_MS)
                    store.returnFrom(copy) {
                        store.write("op/config", configuration(2, "\"other\""))
                        repeat(CHANGE_COUNT) { store.write("op/note", "$it") }
                    }
                    Thread.sleep(APPLY_MS)
                    fixture.call("/safe/x", "key", "GET") shouldStartWith "HTTP/1.1 401"
                }
            }

            // Guards against a fleet whose new members find no peers in the store.
            it("registers its address again") {
                RouterFixture().use { fixture ->
                    fixture.awaitLayers()
                    val store = fixture.store
                    await { store.read("peers/r1") != null }
                    store.returnFrom(store.copy().without("peers/r1")) {}
                    await { store.read("peers/r1") == "127.0.0.1" }
                }
            }
        }

        describe("a router that starts after its store has returned from a copy") {
            // Guards against an older configuration, with a key that has been withdrawn, that is in
            // force again until the operator has written the newest one.
            it("serves by the configuration of its peers") {
                RouterFixture(peerPort = freePort()).use { fixture ->
                    fixture.awaitLayers()
                    val store = fixture.store
                    await { store.read("peers/r1") != null }
                    val copy = store.copy()
                    store.write("op/config", configuration(2, "\"other\""))
                    await { fixture.call("/safe/x", "key", "GET").startsWith("HTTP/1.1 401") }
                    store.returnFrom(copy) {}
                    val second = fixture.startSecond()
                    val answer = fixture.call("/safe/y", "key", "GET", to = second.clientsAddress)
                    answer shouldStartWith "HTTP/1.1 401"
                    second.stop()
                }
            }
        }

        /** Parts of a router on an event loop of their own, and the store that they share. */
        class Parts : AutoCloseable {
            val loop = eventLoop("parts")
            val store = StoreStandIn(eventLoop("store"))
            val client = StoreClient(loop, httpClient(loop), store.address)

            fun leader(name: String): LeadershipLease {
                val log = decisionLog(name)
                val own = StoreClient(loop, httpClient(loop), store.address)
                return LeadershipLease(loop, own, log, "duty/layout", name, TTL_MS)
                    .also { acquire(it) }
            }

            fun acquire(lease: LeadershipLease) {
                loop.execute { lease.tryAcquire() }
                await { lease.fencingToken != null }
            }

            override fun close() {
                store.stop()
                loop.stop()
            }
        }

        describe("the leadership of the layout") {
            // Guards against engines that refuse each order because they have seen the token of a
            // leader of the former era.
            it("has a higher token in a later era, at a lower revision") {
                Parts().use { parts ->
                    val copy = parts.store.copy()
                    repeat(CHANGE_COUNT) { parts.store.write("op/note", "$it") }
                    val leader = parts.leader("a")
                    val formerToken = leader.fencingToken!!
                    parts.store.restore(copy)
                    await { leader.fencingToken == null }
                    parts.acquire(leader)
                    leader.fencingToken!! shouldBeGreaterThan formerToken
                }
            }

            // Guards against zones that wait for their layers while nobody leads.
            it("continues with a higher token if the copy has its key") {
                Parts().use { parts ->
                    val leader = parts.leader("a")
                    val formerToken = leader.fencingToken!!
                    parts.store.restore(parts.store.copy())
                    await { (leader.fencingToken ?: 0) > formerToken }
                }
            }

            // Guards against two leaders, one of which renews the lease of the other.
            it("ends with the era of its lease, whose number is given out again") {
                Parts().use { parts ->
                    val copy = parts.store.copy()
                    val former = parts.leader("a")
                    parts.store.restore(copy)
                    parts.leader("b")
                    await { former.fencingToken == null }
                }
            }
        }

        describe("the rejected contents in the store") {
            // Guards against contents that are accepted again once all routers have restarted.
            it("are written again if the copy lacks them") {
                Parts().use { parts ->
                    val contents = contentQuarantine()
                    val saved =
                        QuarantineStore(
                            parts.loop,
                            parts.client,
                            contents,
                            decisionLog("a"),
                            { true }
                        ) { PresentTime(0, 0) }
                    contents.recordReported(HarmfulContent(ContentId(7), 60_000))
                    parts.loop.repeat(TICK_MS) { saved.tick() }
                    val copy = parts.store.copy()
                    await { parts.store.read("quarantine/7") != null }
                    parts.store.restore(copy)
                    parts.loop.execute { parts.client.get("op/config") {} }
                    await { parts.store.read("quarantine/7") != null }
                }
            }
        }
    })

private const val CHANGE_COUNT = 5
private const val OUTAGE_MS = 500L
private const val READ_MS = 700L
private const val TTL_MS = 300L
private const val TICK_MS = 50L

/** Time within which a change must be in force. */
private const val APPLY_MS = 2_000L
