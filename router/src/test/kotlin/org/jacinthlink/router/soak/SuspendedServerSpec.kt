package org.jacinthlink.router.soak

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.io.path.div
import kotlin.io.path.readLines
import kotlin.io.path.writeText
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
 * changes. `-Dsuspended.seeds=5,6,7` selects other seeds of the form that suspends few of them, and
 * `-Dsuspended.crowded.seeds=5,6,7` those of the form that suspends most.
 */
class SuspendedServerSpec :
    DescribeSpec({
        describe("requests beside suspended servers and changes of the configuration") {
            seeds("suspended.seeds", "1").forEachIndexed { run, seed ->
                // Guards against requests that end with neither an answer nor a refusal.
                it("each get a whole response, seed $seed, run $run") {
                    SuspendedSite(SuspendedForm.FEW, seed, run).use { site ->
                        val results = site.play()
                        withClue("seed $seed, logs in ${site.folder}") {
                            site.processFailures().shouldBeEmpty()
                            results.filter { it.status == null || !it.isWhole }.shouldBeEmpty()
                        }
                    }
                }
            }
            seeds("suspended.crowded.seeds", "").forEachIndexed { run, seed ->
                // Guards against streams that are cut while a server works for them, and against
                // requests that the router never reads, when most servers stand still at once.
                it("each get what the servers that ran could give, seed $seed, run $run") {
                    SuspendedSite(SuspendedForm.MOST, seed, run).use { site ->
                        val results = site.play()
                        withClue("seed $seed, logs in ${site.folder}") {
                            site.processFailures().shouldBeEmpty()
                            site.unexplainedEnds(results).shouldBeEmpty()
                        }
                    }
                }
            }
        }
    })

private fun outcome(result: CallResult) = "${result.kind} ${result.status} ${result.isWhole}"

private fun seeds(property: String, default: String): List<Int> =
    System.getProperty(property, default).split(',').filter { it.isNotBlank() }
        .map { it.trim().toInt() }

/**
 * How hard the requests are disturbed.
 *
 * @property suspendedCounts Numbers of servers that are suspended at once.
 */
private enum class SuspendedForm(val callerCount: Int, val suspendedCounts: IntRange) {
    FEW(24, 1..2),
    MOST(60, 2..6)
}

/** A router process with servers in processes of their own, and the faults of one seed. */
private class SuspendedSite(private val form: SuspendedForm, private val seed: Int, run: Int) :
    AutoCloseable {
    private val random = Random(seed)
    val folder: Path = emptyFolder("${form.name.lowercase()}-$seed-$run")
    private val watch = ProcessWatch(folder)
    private val loop = eventLoop("stand-ins")
    private val store = StoreStandIn(loop)
    private val engines =
        listOf("a1" to "a", "a2" to "a", "b1" to "b", "b2" to "b")
            .map { (id, zone) -> serverProcess(id, zone, "model", watch) }
    private val plainServers = listOf("d1", "d2").map { serverProcess(it, "a", "desk", watch) }
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
        router = RouterProcess(settings, watch)
        router.start()
    }

    /** Describes each process that ended by itself, and each failure that one reported. */
    fun processFailures(): List<String> = watch.failures()

    /** Describes each request without a whole response that the suspensions do not explain. */
    fun unexplainedEnds(results: List<CallResult>): List<String> {
        Thread.sleep(LOG_DELAY_MS)
        val suspensionsMs = engines.associate { it.address to it.suspensionsMs.toList() }
        (folder / "suspensions.txt").writeText(suspensionsMs.toString())
        return unexplainedEnds(results, router.log.readLines(), suspensionsMs, CALL_DEADLINE_MS)
    }

    /** Sends requests while servers are suspended, and returns the results. */
    fun play(): List<CallResult> {
        awaitService()
        val results = disturb()
        println("$form, seed $seed: ${results.groupingBy(::outcome).eachCount()}")
        results.count { it.status == 200 } shouldBeGreaterThan 0
        return results
    }

    /** Waits until the router serves each kind of request. */
    private fun awaitService() {
        val caller = SoakCaller(CALL_DEADLINE_MS)
        CallKind.SOUND.forEach { kind ->
            var number = 0
            await(START_MS) {
                caller.call(router.clients, kind, "first-$kind-${number++}").status == 200
            }
        }
    }

    /** Suspends servers and changes the configuration while callers send requests. */
    private fun disturb(): List<CallResult> {
        val results = CopyOnWriteArrayList<CallResult>()
        val endsAtNanos = System.nanoTime() + LENGTH_MS * NANOS_PER_MS
        val callers = List(form.callerCount) { number ->
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

    /** Suspends servers, and changes the configuration a moment before or after. */
    private fun suspendOne() {
        val suspended = servers.shuffled(random).take(form.suspendedCounts.random(random)).map {
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

/** Returns a folder for the logs of one run that has no logs of a previous one. */
private fun emptyFolder(name: String): Path {
    val folder = Path.of("target", "suspended", name)
    folder.toFile().deleteRecursively()
    return Files.createDirectories(folder)
}

/** The router has written its log to the file after this time. */
private const val LOG_DELAY_MS = 1_500L
private const val NANOS_PER_MS = 1_000_000L
private const val START_MS = 20_000L
private const val LENGTH_MS = 12_000L
private const val CALL_PAUSE_MS = 30L

/** Longer than a stream takes, with two silences in it. */
private const val CALL_DEADLINE_MS = 5_800L
private const val MIN_SILENCE_MS = 1_000L
private const val MAX_SILENCE_MS = 1_500L
private const val CHANGES = 3
private const val MAX_CHANGE_GAP_MS = 400L
