package org.jacinthlink.router.soak

import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import org.jacinthlink.router.standins.EngineStandIn
import org.jacinthlink.transport.HeaderField
import org.jacinthlink.transport.ServerRequest
import org.jacinthlink.transport.eventLoop

/** Starts a stand-in of a backend server in a process. */
internal fun serverProcess(
    instanceId: String,
    zone: String,
    service: String,
    watch: ProcessWatch
): ServerProcess =
    ServerProcess(instanceId, "$PACKAGE.ServerProcessKt", listOf(instanceId, zone, service), watch)

/** Starts a server in a process that writes answers twice, at random as [seed] decides. */
internal fun stutteringProcess(
    instanceId: String,
    zone: String,
    service: String,
    seed: Int,
    watch: ProcessWatch
): ServerProcess =
    ServerProcess(
        instanceId,
        "$PACKAGE.StutteringServerKt",
        listOf(instanceId, zone, service, "$seed"),
        watch
    )

/**
 * A stand-in of a backend server in a separate process, which a test suspends and resumes.
 *
 * Unlike a stand-in in the process of the test, a suspended one still accepts connections and
 * takes requests, as the operating system does that for it.
 */
internal class ServerProcess(
    val instanceId: String,
    mainClass: String,
    arguments: List<String>,
    watch: ProcessWatch
) : AutoCloseable {
    private val watched =
        watch.start(
            instanceId,
            ProcessBuilder(jvmCommand(mainClass, *arguments.toTypedArray()))
        )
    private val firstLine = CompletableFuture<String>()

    /** Requests that the server has run, if its process prints them. */
    val runs: MutableList<EngineStandIn.Run> = CopyOnWriteArrayList()

    /** Times in which [suspendFor] kept the process stopped. */
    val suspensionsMs: MutableList<LongRange> = CopyOnWriteArrayList()

    init {
        thread(isDaemon = true) {
            watched.process.inputReader().forEachLine {
                if (!firstLine.complete(it)) runs.add(run(it))
            }
        }
    }

    /** Entry of the server in the store, which its process has printed. */
    val entry: String get() = firstLine.get(START_S, TimeUnit.SECONDS)

    /** Address of the server in [entry]. */
    val address: String by lazy { ADDRESS.find(entry)!!.value }

    /** Stops the process for [durationMs]. */
    fun suspendFor(durationMs: Long) {
        val beganAtMs = monotonicMs()
        suspendProcess()
        Thread.sleep(durationMs)
        resumeProcess()
        suspensionsMs.add(beganAtMs..monotonicMs())
    }

    /** Suspends the process with SIGSTOP. */
    fun suspendProcess() = watched.signal("STOP")

    /** Resumes a suspended process with SIGCONT. */
    fun resumeProcess() = watched.signal("CONT")

    override fun close() {
        watched.kill()
    }

    private companion object {
        const val START_S = 20L
        val ADDRESS = Regex("""[\d.]+:\d+""")

        /** Reads a line with the head of a request, whose lines are separated by tabs. */
        fun run(line: String): EngineStandIn.Run {
            val head = line.split('\t')
            val (method, target) = head.first().split(' ')
            val headers = head.drop(1).map {
                HeaderField(it.substringBefore(':'), it.substringAfter(':').trim())
            }
            return EngineStandIn.Run(ServerRequest(method, target, headers, ByteArray(0), 0))
        }
    }
}

/** Time in the process of the test. */
internal fun monotonicMs(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

private const val PACKAGE = "org.jacinthlink.router.soak"
private const val EVENT_INTERVAL_MS = 40L

/** Runs a stand-in with the instance id, the availability zone and the service [args]. */
fun main(args: Array<String>) {
    val (instanceId, zone, service) = args
    val server =
        EngineStandIn(eventLoop("server"), instanceId, zone, STREAM_EVENTS, EVENT_INTERVAL_MS)
    println(server.entry(service).replace("\n", " "))
    Thread.currentThread().join()
}
