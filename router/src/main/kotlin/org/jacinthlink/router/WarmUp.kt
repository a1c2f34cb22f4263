package org.jacinthlink.router

import java.util.jar.JarFile
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.decision.fleet.FleetConfiguration
import org.jacinthlink.platform.fleet.decodeConfiguration
import org.jacinthlink.platform.fleet.decodeServer
import org.jacinthlink.platform.store.StoreClient
import org.jacinthlink.router.relay.contentId
import org.jacinthlink.transport.Address
import org.jacinthlink.transport.BufferedCall
import org.jacinthlink.transport.ClientRequest
import org.jacinthlink.transport.EventLoop
import org.jacinthlink.transport.HeaderField
import org.jacinthlink.transport.eventLoop
import org.jacinthlink.transport.httpClient

/**
 * Loads the classes that a router needs and briefly runs a router without a store, so that the
 * build can archive the loaded classes.
 *
 * Each class that is missing from the archive adds about 1 ms to a start, while clients wait.
 */
internal fun warmUp(settings: RouterSettings) {
    val router = router(settings)
    router.start()
    router.openLogAndMetrics()
    ONE_CLASS_PER_JAR.forEach { loadAll(it) }
    decodeConfiguration("{\"version\":1,\"routes\":[],\"services\":[]}".toByteArray())
    decodeServer("servers/none", "{}".toByteArray())
    Thread.sleep(WARM_UP_MS)
    sendRequests(listOf(router.clientsAddress, router.readinessAddress))
    contentId(ByteArray(0))
}

private fun sendRequests(addresses: List<Address>) {
    val loop = eventLoop("warm-up")
    val http = httpClient(loop)
    addresses.forEach { address ->
        val headers = listOf(HeaderField("Host", address.toString()))
        val request = ClientRequest(address, "POST", "/", headers, ByteArray(1))
        loop.execute { BufferedCall(loop, http, request, WARM_UP_CALL_MS) {} }
    }
    Thread.sleep(WARM_UP_MS)
    loop.stop()
}

/** Loads all classes of the JAR file that contains [classInJar]. */
private fun loadAll(classInJar: Class<*>) {
    val archive = classInJar.protectionDomain.codeSource.location.path
    if (!archive.endsWith(".jar")) return
    JarFile(archive).use { jar ->
        jar.entries().asSequence()
            .map { it.name }
            .filter { it.endsWith(CLASS_SUFFIX) && !it.startsWith("META-INF/") }
            .map { it.removeSuffix(CLASS_SUFFIX).replace('/', '.') }
            .filter { !it.endsWith("module-info") }
            .forEach { loadIfUsable(it, classInJar.classLoader) }
    }
}

private fun loadIfUsable(name: String, loader: ClassLoader) {
    try {
        Class.forName(name, false, loader)
    } catch (e: LinkageError) {
        // Libraries contain classes for optional dependencies, which a router never uses.
        System.err.println("warm-up: $name is left out: ${e.message}")
    }
}

/** One class of each JAR file whose classes are all loaded. */
private val ONE_CLASS_PER_JAR: List<Class<*>> =
    listOf(
        Router::class.java,
        ProtocolJson::class.java,
        FleetConfiguration::class.java,
        StoreClient::class.java,
        EventLoop::class.java,
        KSerializer::class.java,
        Json::class.java
    )

private const val CLASS_SUFFIX = ".class"
private const val WARM_UP_MS = 700L
private const val WARM_UP_CALL_MS = 300L
