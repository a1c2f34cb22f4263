package org.jacinthlink.router

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.TimeUnit
import org.jacinthlink.router.relay.FailureDetector
import org.jacinthlink.router.state.ConfigurationCache
import org.jacinthlink.router.state.ServerRegistry
import org.jacinthlink.transport.RequestMemory
import org.jacinthlink.transport.ResponseMemory

/**
 * Counters, histograms and gauges of a router, exported as Prometheus text.
 *
 * Updates are held back until [open], because the metrics library takes a good part of the time of
 * a start. All functions except [loadMeters] must be called on the event loop.
 */
internal class RouterMetrics {
    private var meters: Meters? = null
    private val heldUpdates = ArrayList<(Meters) -> Unit>()

    /** Loads the metrics library. May be called on any thread. */
    fun loadMeters(): Meters = Meters()

    /** Starts to use [loaded], and applies the updates that were held back. */
    fun open(loaded: Meters) {
        meters = loaded
        heldUpdates.forEach { it(loaded) }
        heldUpdates.clear()
    }

    /** Counts a request that ended with [status] for [cause]. */
    fun ended(kind: String, status: Int, cause: String) {
        update { it.ended(kind, status, cause) }
    }

    /** Counts a retry of a request. */
    fun retried(cause: String) {
        update { it.retried(cause) }
    }

    /** Counts a request whose server was lost before it had begun to answer. */
    fun lostBeforeBegun() = update { it.lostBeforeBegun() }

    /** Counts a request that its holder has not answered by its deadline. */
    fun unanswered() = update { it.unanswered() }

    /** Counts a request that was refused because its workspace was over its quota. */
    fun quotaRefused() = update { it.quotaRefused() }

    /** Counts a connection that was closed because of bytes that belong to no request. */
    fun surplusReceived() = update { it.surplusReceived() }

    /** Counts [count] times that bytes of a peer had to wait for those of others. */
    fun inputHeld(count: Int) = update { it.inputHeld(count) }

    /** Counts a probe of a server for [reason]. */
    fun probed(reason: String) = update { it.probed(reason) }

    /** Records the time from a request's arrival to its first event. */
    fun firstEvent(elapsedMs: Long) = update { it.firstEvent.recordMs(elapsedMs) }

    /** Records the longest pause between two events of a stream. */
    fun longestGap(gapMs: Long) = update { it.eventGap.recordMs(gapMs) }

    /** Records how long a request of rank [priority] waited for capacity, and how that ended. */
    fun waitEnded(priority: Int, outcome: String, waitMs: Long) =
        update { it.waitEnded("jacinthlink.queue.wait", priority, outcome, waitMs) }

    /** Records how long a request of rank [priority] waited for a server of a plain service. */
    fun plainWaitEnded(priority: Int, outcome: String, waitMs: Long) =
        update { it.waitEnded("jacinthlink.plain.wait", priority, outcome, waitMs) }

    /** Records the time to the complete response of a plain service. */
    fun answered(elapsedMs: Long) = update { it.answer.recordMs(elapsedMs) }

    /** Registers a gauge with [name] that reads [value] whenever the metrics are scraped. */
    fun gauge(name: String, value: () -> Number) = update { it.gauge(name, value) }

    /** Registers a gauge with [name] of [service], as [gauge]. */
    fun serviceGauge(name: String, service: String, value: () -> Number) =
        update { it.serviceGauge(name, service, value) }

    /** Registers gauges of the known and failed servers and of the configuration's version. */
    fun registerStateGauges(
        configuration: ConfigurationCache,
        servers: ServerRegistry,
        failureDetector: FailureDetector
    ) {
        gauge("jacinthlink.servers") { servers.all.size }
        gauge("jacinthlink.servers.unreadable") { servers.unreadableCount }
        gauge("jacinthlink.servers.failed") { failureDetector.failed.size }
        gauge("jacinthlink.configuration.version") { configuration.current?.version ?: -1 }
    }

    /** Registers gauges of the bytes that requests and answers take. */
    fun registerMemoryGauges(requests: RequestMemory, answers: ResponseMemory) {
        gauge("jacinthlink.request.bytes") { requests.requestBytes }
        gauge("jacinthlink.answer.unsent.bytes") { requests.answerBytes }
        gauge("jacinthlink.answer.read.bytes") { answers.usedBytes }
    }

    /** All metrics in the Prometheus text format; empty before [open]. */
    fun text(): String = meters?.text().orEmpty()

    private fun update(action: (Meters) -> Unit) {
        val open = meters
        when {
            open != null -> action(open)
            heldUpdates.size < MAX_HELD_UPDATES -> heldUpdates.add(action)
        }
    }

    /** The meters of the metrics library. */
    internal class Meters {
        private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
        val firstEvent: Timer = histogram("jacinthlink.first.event")
        val eventGap: Timer = histogram("jacinthlink.event.gap")
        val answer: Timer = histogram("jacinthlink.answer")

        fun ended(kind: String, status: Int, cause: String) {
            registry.counter(
                "jacinthlink.requests",
                "kind",
                kind,
                "status",
                status.toString(),
                "cause",
                cause
            ).increment()
        }

        fun waitEnded(name: String, priority: Int, outcome: String, waitMs: Long) =
            histogram(name, "rank", "$priority", "outcome", outcome)
                .recordMs(waitMs)

        fun retried(cause: String) =
            registry.counter("jacinthlink.repeats", "cause", cause).increment()

        fun lostBeforeBegun() = registry.counter("jacinthlink.lost.before.begun").increment()

        fun unanswered() = registry.counter("jacinthlink.unanswered").increment()

        fun quotaRefused() = registry.counter("jacinthlink.quota.refused").increment()

        fun surplusReceived() = registry.counter("jacinthlink.surplus").increment()

        fun inputHeld(count: Int) =
            registry.counter("jacinthlink.input.held").increment(count.toDouble())

        fun probed(reason: String) =
            registry.counter("jacinthlink.probes", "reason", reason).increment()

        fun gauge(name: String, value: () -> Number) {
            // The registry refers only weakly to the object of its other kind of gauge.
            Gauge.builder(name) { value() }.register(registry)
        }

        fun serviceGauge(name: String, service: String, value: () -> Number) {
            Gauge.builder(name) { value() }.tag("service", service).register(registry)
        }

        fun text(): String = registry.scrape()

        private fun histogram(name: String, vararg tags: String): Timer =
            Timer.builder(name)
                .tags(*tags)
                .serviceLevelObjectives(*BUCKETS_MS.map { Duration.ofMillis(it) }.toTypedArray())
                .register(registry)
    }

    private companion object {
        val BUCKETS_MS = longArrayOf(20, 50, 100, 150, 200, 300, 500, 1_000, 2_000, 5_000)

        /** Updates of the first second of a start under load, with a margin. */
        const val MAX_HELD_UPDATES = 4_096
    }
}

private fun Timer.recordMs(ms: Long) = record(ms, TimeUnit.MILLISECONDS)
