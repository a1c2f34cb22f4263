package org.jacinthlink.router.soak

import org.jacinthlink.router.standins.EngineStandIn
import org.jacinthlink.transport.eventLoop

/**
 * A stand-in of a backend server in a separate process, which a test suspends and resumes.
 *
 * Unlike a stand-in in the process of the test, a suspended one still accepts connections and
 * takes requests, as the operating system does that for it.
 */
internal class ServerProcess(val instanceId: String, zone: String, service: String) :
    AutoCloseable {
    private val process =
        ProcessBuilder(jvmCommand(MAIN_CLASS, instanceId, zone, service))
            .redirectError(ProcessBuilder.Redirect.INHERIT)
            .start()

    /** Entry of the server in the store, which its process has printed. */
    val entry: String by lazy { checkNotNull(process.inputReader().readLine()) }

    /** Stops the process for [durationMs]. */
    fun suspendFor(durationMs: Long) {
        process.signal("STOP")
        Thread.sleep(durationMs)
        process.signal("CONT")
    }

    override fun close() {
        process.destroyForcibly().waitFor()
    }

    private companion object {
        const val MAIN_CLASS = "org.jacinthlink.router.soak.ServerProcessKt"
    }
}

private const val EVENT_INTERVAL_MS = 40L

/** Runs a stand-in with the instance id, the availability zone and the service [args]. */
fun main(args: Array<String>) {
    val (instanceId, zone, service) = args
    val server =
        EngineStandIn(eventLoop("server"), instanceId, zone, STREAM_EVENTS, EVENT_INTERVAL_MS)
    println(server.entry(service).replace("\n", " "))
    Thread.currentThread().join()
}
