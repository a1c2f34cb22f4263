package org.jacinthlink.router

import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.TimeUnit
import org.jacinthlink.router.relay.FailureDetector
import org.jacinthlink.router.state.ConfigurationCache
import org.jacinthlink.router.state.ServerRegistry

/** Counters, histograms and gauges of a router, exported as Prometheus text. */
internal class RouterMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val firstEvent = histogram("jacinthlink.first.event")
    private val eventGap = histogram("jacinthlink.event.gap")
    private val queueWait = histogram("jacinthlink.queue.wait")
    private val answer = histogram("jacinthlink.answer")

    /** Counts a request that ended with [status] for [cause]. */
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

    /** Counts a retry of a request. */
    fun retried(cause: String) {
        registry.counter("jacinthlink.repeats", "cause", cause).increment()
    }

    /** Records the time from a request's arrival to its first event. */
    fun firstEvent(elapsedMs: Long) = firstEvent.record(elapsedMs, TimeUnit.MILLISECONDS)

    /** Records the longest pause between two events of a stream. */
    fun longestGap(gapMs: Long) = eventGap.record(gapMs, TimeUnit.MILLISECONDS)

    /** Records how long a stream waited for capacity. */
    fun queued(waitMs: Long) = queueWait.record(waitMs, TimeUnit.MILLISECONDS)

    /** Records the time to the complete response of a plain service. */
    fun answered(elapsedMs: Long) = answer.record(elapsedMs, TimeUnit.MILLISECONDS)

    /** Registers a gauge with [name] that reads [value] whenever the metrics are scraped. */
    fun gauge(name: String, value: () -> Number) {
        registry.gauge(name, value) { it().toDouble() }
    }

    /** Registers gauges of the known and failed servers and of the configuration's version. */
    fun registerStateGauges(
        configuration: ConfigurationCache,
        servers: ServerRegistry,
        failureDetector: FailureDetector
    ) {
        gauge("jacinthlink.servers") { servers.all.size }
        gauge("jacinthlink.servers.failed") { failureDetector.failed.size }
        gauge("jacinthlink.configuration.version") { configuration.current?.version ?: -1 }
    }

    /** All metrics in the Prometheus text format. */
    fun text(): String = registry.scrape()

    private fun histogram(name: String): Timer =
        Timer.builder(name)
            .serviceLevelObjectives(*BUCKETS_MS.map { Duration.ofMillis(it) }.toTypedArray())
            .register(registry)

    private companion object {
        val BUCKETS_MS = longArrayOf(20, 50, 100, 150, 200, 300, 500, 1_000, 2_000, 5_000)
    }
}
