package org.jacinthlink.router

import java.util.jar.JarFile
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.decision.fleet.FleetConfiguration
import org.jacinthlink.platform.fleet.decodeConfiguration
import org.jacinthlink.platform.fleet.decodeServer
import org.jacinthlink.platform.store.StoreClient
import org.jacinthlink.transport.EventLoop

/**
 * Loads the classes that a router needs and runs one without a store for a moment, so that the
 * build can archive them.
 *
 * A class that is missing from the archive costs about 1 ms of a start, when callers wait already.
 */
internal fun warmUp(settings: RouterSettings) {
    val router = router(settings)
    router.start()
    ARCHIVED.forEach { loadAll(it) }
    decodeConfiguration("{\"version\":1,\"routes\":[],\"services\":[]}".toByteArray())
    decodeServer("servers/none", "{}".toByteArray())
    Thread.sleep(WARM_UP_MS)
    router.askItself()
    Thread.sleep(WARM_UP_MS)
}

/** Loads each class of the archive that [member] comes from. */
private fun loadAll(member: Class<*>) {
    val archive = member.protectionDomain.codeSource.location.path
    if (!archive.endsWith(".jar")) return
    JarFile(archive).use { jar ->
        jar.entries().asSequence()
            .map { it.name }
            .filter { it.endsWith(CLASS_SUFFIX) && !it.startsWith("META-INF/") }
            .map { it.removeSuffix(CLASS_SUFFIX).replace('/', '.') }
            .filter { !it.endsWith("module-info") }
            .forEach { loadIfUsable(it, member.classLoader) }
    }
}

private fun loadIfUsable(name: String, loader: ClassLoader) {
    try {
        Class.forName(name, false, loader)
    } catch (e: LinkageError) {
        // Libraries have classes for optional dependencies, which a router never uses.
        System.err.println("warm-up: $name is left out: ${e.message}")
    }
}

/** A class from each archive that is loaded whole. */
private val ARCHIVED: List<Class<*>> =
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
