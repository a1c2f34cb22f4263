package org.jacinthlink.runtime.daemon

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import org.jacinthlink.runtime.http.HttpServer
import org.jacinthlink.runtime.http.HttpTraffic

/** Registers the meters that every daemon has. */
internal fun bindDaemonMeters(
    meters: MeterRegistry,
    context: DaemonContext,
    logic: DaemonLogic,
    server: HttpServer
) {
    JvmMemoryMetrics().bindTo(meters)
    JvmThreadMetrics().bindTo(meters)
    ProcessorMetrics().bindTo(meters)
    gauge(meters, "jacinthlink.configuration.revision") { context.configuration.current.revision }
    gauge(meters, "jacinthlink.membership.instances") { context.membership.instances().size }
    gauge(meters, "jacinthlink.draining") { if (context.draining) 1 else 0 }
    gauge(meters, "jacinthlink.open.work") { logic.openWork() }
    counter(meters, "jacinthlink.http.requests", server) { it.requests }
    counter(meters, "jacinthlink.http.received.bytes", server) { it.receivedBytes }
    counter(meters, "jacinthlink.http.sent.bytes", server) { it.sentBytes }
}

private fun gauge(meters: MeterRegistry, name: String, value: () -> Number) =
    Gauge.builder(name, value).register(meters)

private fun counter(
    meters: MeterRegistry,
    name: String,
    server: HttpServer,
    value: (HttpTraffic) -> Long
) = FunctionCounter.builder(name, server) { value(it.traffic).toDouble() }.register(meters)
