package org.jacinthlink.router

import org.jacinthlink.platform.fleet.decodeConfiguration
import org.jacinthlink.platform.fleet.decodeServer

/** Runs a router without a store for a moment, so that its classes are loaded, and ends. */
internal fun warmUp(settings: RouterSettings) {
    val router = router(settings)
    router.start()
    decodeConfiguration("{\"version\":1,\"routes\":[],\"services\":[]}".toByteArray())
    decodeServer("servers/none", "{}".toByteArray())
    Thread.sleep(WARM_UP_MS)
    router.askItself()
    Thread.sleep(WARM_UP_MS)
}

private const val WARM_UP_MS = 700L
