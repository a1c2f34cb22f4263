package org.jacinthlink.router

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.string.shouldStartWith
import org.jacinthlink.router.standins.EngineStandIn.Script
import org.jacinthlink.router.standins.RouterFixture
import org.jacinthlink.router.standins.configuration
import org.jacinthlink.router.standins.freePort
import org.jacinthlink.standins.FaultProxy
import org.jacinthlink.standins.ProxyListenerSettings
import org.jacinthlink.standins.startFaultProxy

/** Open connections to the store fall silent without a reset, while new ones work. */
class SilentStoreSpec :
    DescribeSpec({
        fun withProxy(test: (FaultProxy, RouterFixture) -> Unit) {
            val proxy = startFaultProxy()
            val fixture =
                RouterFixture(
                    peerPort = freePort(),
                    storeProxy = { proxy.addListener(ProxyListenerSettings(STORE, it)) }
                )
            try {
                fixture.use { test(proxy, it) }
            } finally {
                proxy.stop()
            }
        }

        describe("a router whose connections to the store have fallen silent") {
            // Guards against a router that goes on with an old configuration because nothing tells
            // a silent watch from one without changes.
            it("follows a change of the configuration in time, and so does its peer") {
                withProxy { proxy, fixture ->
                    fixture.awaitLayers()
                    val second = fixture.startSecond()
                    fixture.store.write("op/config", configuration(2))
                    Thread.sleep(PAUSE_MS)
                    proxy.silenceExisting(STORE)
                    Thread.sleep(STABLE_MS)
                    fixture.store.write("op/config", configuration(3, "\"other\""))
                    Thread.sleep(APPLY_MS)
                    listOf(fixture.router, second).forEach {
                        val answer = fixture.call("/safe/x", "key", "GET", to = it.clientsAddress)
                        answer shouldStartWith "HTTP/1.1 401"
                    }
                    second.stop()
                }
            }

            // Guards against requests to a server that has left the fleet while the watch of the
            // servers was silent.
            it("follows a change of the servers in time") {
                withProxy { proxy, fixture ->
                    fixture.awaitLayers()
                    fixture.plainServers[0].script = Script.Rejecting
                    proxy.silenceExisting(STORE)
                    Thread.sleep(STABLE_MS)
                    val left = fixture.plainServers[1]
                    fixture.store.write("servers/d2", left.entry("desk", state = "draining"))
                    Thread.sleep(APPLY_MS)
                    fixture.call("/once/x", "after") shouldStartWith "HTTP/1.1 503"
                }
            }
        }
    })

private const val STORE = "store"
private const val PAUSE_MS = 700L

/** Time after which a router must have recovered from the loss of its connections. */
private const val STABLE_MS = 3_200L

/** Time within which a change must be in force. */
private const val APPLY_MS = 2_000L
