package org.jacinthlink.router.soak

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import org.jacinthlink.router.standins.await

/**
 * Runs router processes under random faults, and checks the guarantees that callers get.
 *
 * `-Dsoak.seeds=5,6,7` selects other seeds, and `-Dsoak.seconds=30` injects faults for a longer
 * time. `-Dsoak.drain.seeds=5,6,7` plays the case in which servers drain.
 */
class SoakSpec :
    DescribeSpec({
        describe("router processes under random faults from outside") {
            seeds("soak.seeds", "1,2").forEach { seed ->
                // Guards against guarantees that hold under each single fault but not under
                // several at once.
                it("keep their guarantees to callers and serve again afterwards, seed $seed") {
                    val folder = emptyFolder("seed-$seed")
                    SoakSite(folder, seed).use { site ->
                        withClue({ "$folder, processes ${site.processFailures()}" }) {
                            site.awaitService()
                        }
                        val faults = site.planAllFaults(seed)
                        val results = site.injectAll(faults, seed)
                        val served = results.count { it.status == 200 && it.isWhole }
                        val summary = "seed $seed: $served of ${results.size} served"
                        val stuttered = site.stutteringServers.sumOf { it.runs.size }
                        println(
                            "soak $summary, $stuttered run at stuttering servers, " +
                                "${faults.size} faults"
                        )
                        withClue("$summary, logs in $folder, faults $faults") {
                            site.processFailures().shouldBeEmpty()
                            site.awaitService()
                            guaranteeViolations(results, site).shouldBeEmpty()
                            site.processFailures().shouldBeEmpty()
                        }
                    }
                }
            }
            seeds("soak.drain.seeds", "").forEach { seed ->
                // Guards against streams that leave a draining server that still serves them.
                it("lose nothing while servers drain and all others pause, seed $seed") {
                    val folder = emptyFolder("drain-$seed")
                    SoakSite(folder, seed).use { site ->
                        site.awaitService()
                        val faults = planDrains(seed, site, lengthMs())
                        val results = site.injectAll(faults, seed, 0, LONG_STREAM)
                        val served = results.count { it.status == 200 && it.isWhole }
                        println("soak drains, seed $seed: $served of ${results.size} served")
                        withClue("logs in $folder, faults $faults") {
                            site.processFailures().shouldBeEmpty()
                            site.awaitService()
                            guaranteeViolations(results, site).shouldBeEmpty()
                            lostRequests(results, site.routers.map { it.log }).shouldBeEmpty()
                            site.processFailures().shouldBeEmpty()
                        }
                    }
                }
            }
        }
    })

private val LOGS = Path.of("target", "soak")

/** Time limit for a router to serve each kind of request, at the start and after the faults. */
private const val RECOVERY_MS = 12_000L
private const val CALLERS = 6
private const val CALL_PAUSE_MS = 40L

/** Callers that call servers that stutter in quick succession, so connections are reused often. */
private const val STUTTERING_CALLERS = 4

/** Number of events from which on a stream is moved off a draining server. */
private const val LONG_STREAM = 400
private const val STUTTERING_CALL_PAUSE_MS = 5L
private val STUTTERING_KINDS = CallKind.entries - CallKind.SOUND

/** Returns a folder for the logs of one seed that has no logs of a previous run. */
private fun emptyFolder(name: String): Path {
    val folder = LOGS.resolve(name)
    folder.toFile().deleteRecursively()
    return Files.createDirectories(folder)
}

// Seed 2 failed when a late copy of an answer gave its status to the next answer.
private fun seeds(property: String, default: String): List<Int> =
    System.getProperty(property, default).split(',').filter { it.isNotBlank() }
        .map { it.trim().toInt() }

private fun lengthMs(): Long = System.getProperty("soak.seconds", "10").toLong() * 1_000

/** Waits until each router serves each kind of request. */
private fun SoakSite.awaitService() {
    val caller = SoakCaller()
    routers.forEach { router ->
        CallKind.entries.forEach { kind ->
            var number = 0
            await(RECOVERY_MS) {
                caller.call(router.clients, kind, "check-${router.clients}-$kind-${number++}")
                    .let { it.status == 200 && it.isWhole }
            }
        }
    }
}

private fun SoakSite.planAllFaults(seed: Int): List<PlannedFault> {
    val faults = planFaults(seed, this, lengthMs()) + planStutteringFaults(seed, this, lengthMs())
    return faults.sortedBy { it.atMs }
}

/** Injects [faults] while callers send requests, and returns the results of the callers. */
private fun SoakSite.injectAll(
    faults: List<PlannedFault>,
    seed: Int,
    stutteringCallers: Int = STUTTERING_CALLERS,
    lengthHint: Int? = null
): List<CallResult> {
    val results = CopyOnWriteArrayList<CallResult>()
    val startedAt = System.nanoTime()
    val endsAt = startedAt + (lengthMs() + RECOVERY_MS / 4) * 1_000_000
    val pool = Executors.newCachedThreadPool()
    fun call(number: Int, kinds: List<CallKind>, pauseMs: Long) {
        val random = Random(seed * CALLERS + number)
        val caller = SoakCaller(lengthHint = lengthHint)
        var count = 0
        while (System.nanoTime() < endsAt) {
            val router = routers.random(random)
            val id = "$seed-$number-${count++}"
            results.add(caller.call(router.clients, kinds.random(random), id))
            Thread.sleep(pauseMs)
        }
    }
    repeat(CALLERS) { pool.execute { call(it, CallKind.SOUND, CALL_PAUSE_MS) } }
    repeat(stutteringCallers) {
        pool.execute { call(CALLERS + it, STUTTERING_KINDS, STUTTERING_CALL_PAUSE_MS) }
    }
    faults.forEach { planned ->
        val waitMs = planned.atMs - (System.nanoTime() - startedAt) / 1_000_000
        if (waitMs > 0) Thread.sleep(waitMs)
        pool.execute { inject(planned) }
    }
    pool.shutdown()
    pool.awaitTermination(1, TimeUnit.MINUTES)
    endAllFaults()
    return results
}
