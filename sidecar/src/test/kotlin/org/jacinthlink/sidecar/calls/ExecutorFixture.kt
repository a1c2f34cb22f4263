package org.jacinthlink.sidecar.calls

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import org.jacinthlink.api.CallAnswer
import org.jacinthlink.api.CallCancel
import org.jacinthlink.api.CallRequest
import org.jacinthlink.api.Configuration
import org.jacinthlink.api.Holding
import org.jacinthlink.api.PlainCall
import org.jacinthlink.api.PlainResult
import org.jacinthlink.api.PlainService
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.WorkClass
import org.jacinthlink.api.WorkspaceId
import org.jacinthlink.decision.claims.claimKey
import org.jacinthlink.runtime.configuration.ConfigurationView
import org.jacinthlink.runtime.events.eventLog
import org.jacinthlink.runtime.supervision.rootScope
import org.jacinthlink.runtime.systemClock

internal val KEY = claimKey(WorkspaceId("shop"), "key")

internal fun booking(key: String = "key", workspace: String = "shop") =
    CallRequest(
        RequestId("r"),
        WorkspaceId(workspace),
        "urgent",
        "desk",
        "POST",
        "/bookings",
        emptyMap(),
        "one bicycle",
        key,
        "hash",
        remainingMs = 2_000
    )

internal fun lookUp(workClass: String = "urgent") =
    booking().copy(method = "GET", workClass = workClass, idempotencyKey = null)

internal fun cancellation(key: String) =
    CallCancel(RequestId("r"), WorkspaceId("shop"), "desk", key, "hash")

/** An executor over a fake service and a fake key-value service. */
internal class ExecutorFixture(
    val keyValue: FakeKeyValueService,
    settings: CallExecutorSettings,
    result: () -> PlainResult
) : AutoCloseable {
    val executions = AtomicInteger()
    val gate = Gate()

    /** Jump of the monotonic clock, as after a pause of the process. */
    val pausedMs = AtomicLong()
    val clocks =
        SidecarClocks(System::currentTimeMillis) { System.nanoTime() / 1_000_000 + pausedMs.get() }
    val events = eventLog("test", systemClock())
    private val scope = rootScope("test", events)
    val claims =
        claimStore("desk", keyValue, ClaimStoreSettings(writeIntervalMs = 5), clocks)
    private val service =
        object : PlainService {
            override fun call(call: PlainCall, timeoutMs: Long): PlainResult {
                executions.incrementAndGet()
                gate.pass()
                return result()
            }
        }
    val executor =
        callExecutor(
            CallParts(
                Holding.Service("desk"),
                service,
                claims,
                CallMonitor(events, SimpleMeterRegistry())
            ),
            TwoClasses,
            scope,
            settings,
            clocks
        )

    fun submit(request: CallRequest): CompletableFuture<CallAnswer> =
        CompletableFuture<CallAnswer>()
            .also { executor.submit(request, it::complete) }
            .orTimeout(10, TimeUnit.SECONDS)

    /** Submits [request] and returns while it is in execution. */
    fun submitAndHold(request: CallRequest): CompletableFuture<CallAnswer> {
        gate.hold()
        return submit(request).also { gate.awaitArrival() }
    }

    fun cancel(key: String = "key"): CompletableFuture<CallAnswer> =
        CompletableFuture<CallAnswer>()
            .also { executor.cancel(cancellation(key), it::complete) }
            .orTimeout(10, TimeUnit.SECONDS)

    override fun close() {
        scope.close()
        claims.close()
    }
}

internal fun withExecutor(
    result: () -> PlainResult = { PlainResult.Answered(200, emptyMap(), "done") },
    keyValue: FakeKeyValueService = FakeKeyValueService(),
    settings: CallExecutorSettings = CallExecutorSettings(concurrency = 4),
    test: ExecutorFixture.() -> Unit
) = ExecutorFixture(keyValue, settings, result).use { it.test() }

private object TwoClasses : ConfigurationView {
    override val current =
        Configuration(
            classes =
            mapOf(
                "urgent" to WorkClass("urgent", targetMs = 300, worth = 10),
                "bulk" to WorkClass("bulk", targetMs = 60_000, worth = 1)
            )
        )

    override fun addListener(listener: (Configuration) -> Unit) = Unit
}

/** Holds executions back until it is opened. */
internal class Gate {
    private val arrival = CountDownLatch(1)

    @Volatile
    private var latch = CountDownLatch(0)

    fun hold() {
        latch = CountDownLatch(1)
    }

    fun open() = latch.countDown()

    fun pass() {
        arrival.countDown()
        latch.await()
    }

    fun awaitArrival() = check(arrival.await(5, TimeUnit.SECONDS)) { "no execution in 5 s" }
}
