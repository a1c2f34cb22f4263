package org.jacinthlink.router.soak

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.random.Random
import org.jacinthlink.router.RetryBudgetSettings
import org.jacinthlink.router.RouterSettings
import org.jacinthlink.router.standins.StoreStandIn
import org.jacinthlink.router.standins.await
import org.jacinthlink.router.standins.configuration
import org.jacinthlink.router.standins.freePort
import org.jacinthlink.transport.eventLoop

/**
 * Server processes that are suspended for about a second and go on, while the configuration
 * changes. `-Dsuspended.seeds=5,6,7` selects other seeds.
 */
class SuspendedServerSpec :
    DescribeSpec({
        describe("requests beside suspended servers and changes of the configuration") {
            seeds().forEach { seed ->
                // Guards against requests that end with neither an answer nor a refusal.
                it("each get a whole response, seed $seed") {
                    SuspendedSite(seed).use { site ->
                        site.awaitService()
                        val results = site.disturb()
                        val outcomes = results.groupingBy(::outcome).eachCount()
                        println("suspended servers, seed $seed: $outcomes")
                        results.count { it.status == 200 } shouldBeGreaterThan 0
                        withClue("seed $seed, logs in $FOLDER") {
                            results.filter { it.status == null || !it.isWhole }.shouldBeEmpty()
                        }
                    }
                }
            }
        }
    })

private fun outcome(result: CallResult) = "${result.kind} ${result.status} ${result.isWhole}"

private fun seeds(): List<Int> =
    System.getProperty("suspended.seeds", "1").split(',').map { it.trim().toInt() }

/** A router process with servers in processes of their own, and the faults of one seed. */
private class SuspendedSite(seed: Int) : AutoCloseable {
    private val random = Random(seed)
    private val loop = eventLoop("stand-ins")
    private val store = StoreStandIn(loop)
    private val engines =
        listOf("a1" to "a", "a2" to "a", "b1" to "b", "b2" to "b")
            .map { (id, zone) -> serverProcess(id, zone, "model") }
    private val plainServers = listOf("d1", "d2").map { serverProcess(it, "a", "desk") }
    private val servers = engines + plainServers
    private val changes = ConfigurationChanges()
    private val router: RouterProcess

    init {
        store.write("op/config", changes.first())
        servers.forEach { store.write("servers/${it.instanceId}", it.entry) }
        val host = "127.0.0.1"
        val settings =
            RouterSettings(
                instance = "suspended-$seed",
                availabilityZone = "a",
                clients = "$host:${freePort()}",
                readiness = "$host:${freePort()}",
                host = host,
                peerPort = freePort(),
                metricsPort = 0,
                store = store.address.toString(),
                // Streams that leave a server use the budget up, so later ones have to stay.
                retryBudget = RetryBudgetSettings(ratio = 0.0, extra = 20.0)
            )
        router = RouterProcess(settings, Files.createDirectories(FOLDER))
        router.start()
    }

    /** Waits until the router serves each kind of request. */
    fun awaitService() {
        val caller = SoakCaller(CALL_DEADLINE_MS)
        CallKind.SOUND.forEach { kind ->
            var number = 0
            await(START_MS) {
                caller.call(router.clients, kind, "first-$kind-${number++}").status == 200
            }
        }
    }

    /** Suspends servers and changes the configuration while callers send requests. */
    fun disturb(): List<CallResult> {
        val results = CopyOnWriteArrayList<CallResult>()
        val endsAtNanos = System.nanoTime() + LENGTH_MS * NANOS_PER_MS
        val callers = List(CALLERS) { number ->
            thread {
                val caller = SoakCaller(CALL_DEADLINE_MS)
                var count = 0
                while (System.nanoTime() < endsAtNanos) {
                    val kind = CallKind.SOUND[(number + count) % CallKind.SOUND.size]
                    results.add(caller.call(router.clients, kind, "$number-${count++}"))
                    Thread.sleep(CALL_PAUSE_MS)
                }
            }
        }
        while (System.nanoTime() < endsAtNanos) suspendOne()
        callers.forEach { it.join() }
        return results
    }

    /** Suspends one or two servers, and changes the configuration a moment before or after. */
    private fun suspendOne() {
        val suspended = servers.shuffled(random).take(1 + random.nextInt(2)).map {
            val durationMs = random.nextLong(MIN_SILENCE_MS, MAX_SILENCE_MS)
            thread { it.suspendFor(durationMs) }
        }
        repeat(CHANGES) {
            Thread.sleep(random.nextLong(MAX_CHANGE_GAP_MS))
            store.write("op/config", changes.next(random))
        }
        suspended.forEach { it.join() }
    }

    override fun close() {
        router.close()
        servers.forEach { it.close() }
        loop.stop()
    }
}

/** Versions of a configuration that differ in what operators change most. */
private class ConfigurationChanges {
    private var version = 1

    fun first(): String = text("6000", "\"key\"", "")

    /** The next version, with timeouts, keys and an idle timeout drawn from [random]. */
    fun next(random: Random): String {
        version++
        val timeoutMs = listOf("6000", "9000").random(random)
        val keys = listOf("\"key\"", "\"key\",\"other\"").random(random)
        val idleMs = listOf(2_000, 5_000, 15_000).random(random)
        val limits =
            """"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
            "headerTimeoutMs":3000,"idleTimeoutMs":$idleMs},"""
        return text(timeoutMs, keys, limits)
    }

    private fun text(timeoutMs: String, keys: String, limits: String): String =
        configuration(version, keys)
            .replace("\"timeoutMs\":3000", "\"timeoutMs\":$timeoutMs")
            .replace("\"routes\":", "$limits\"routes\":")
}

private val FOLDER = Path.of("target", "suspended")
private const val NANOS_PER_MS = 1_000_000L
private const val START_MS = 20_000L
private const val LENGTH_MS = 12_000L
private const val CALLERS = 24
private const val CALL_PAUSE_MS = 30L

/** Longer than a stream takes, with two silences in it. */
private const val CALL_DEADLINE_MS = 5_800L
private const val MIN_SILENCE_MS = 1_000L
private const val MAX_SILENCE_MS = 1_500L
private const val CHANGES = 3
private const val MAX_CHANGE_GAP_MS = 400L
