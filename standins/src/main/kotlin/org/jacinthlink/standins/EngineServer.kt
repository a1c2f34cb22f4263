package org.jacinthlink.standins

import java.util.concurrent.locks.LockSupport
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlinx.serialization.Serializable
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes
import org.jacinthlink.api.EngineInput
import org.jacinthlink.api.EngineLoad
import org.jacinthlink.api.EngineOutput
import org.jacinthlink.api.LoadOrder
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.StreamKey
import org.jacinthlink.runtime.http.jsonResponse

internal class EngineServer(private val settings: EngineSettings) : EngineStandIn {
    private val state = EngineState(settings)
    private val stateLock = ReentrantLock()

    // One step at a time occupies the accelerator; other calls are served meanwhile.
    private val accelerator = ReentrantLock(true)
    private val report = LaggingValue(EngineLoad(0, 0))

    @Volatile private var speed = settings.speed
    private var crashCount = 0
    private val server: StandInServer =
        StandInServer(settings.host, settings.port, WORKERS, ::crashed, handler())

    override val address: String get() = server.address
    override val crashes: Int get() = stateLock.withLock { crashCount }
    override val orderViolations: Int get() = stateLock.withLock { state.orderViolations }

    override fun executions(requestId: RequestId): EngineExecutions =
        stateLock.withLock { state.executions(requestId) }

    override fun setSpeed(speed: EngineSpeed) {
        this.speed = speed
    }

    override fun crash(downMs: Long) = server.crash(downMs)

    override fun drain() = stop()

    override fun awaitStopped() = server.awaitStopped()

    override fun stop() = server.stop()

    private fun handler() =
        routes(
            "/v1/engine/load" bind Method.POST to ::load,
            "/v1/engine/step" bind Method.POST to ::step,
            "/v1/engine/release" bind Method.POST to ::release,
            "/v1/engine/load-report" bind Method.GET to { _: Request ->
                val load = report.read(System.currentTimeMillis(), settings.loadReportLagMs)
                okJson(EngineLoad.serializer(), load)
            },
            "/v1/engine/executions" bind Method.GET to { request: Request ->
                val id = RequestId(request.query("request_id").orEmpty())
                okJson(EngineExecutions.serializer(), executions(id))
            },
            "/control/speed" bind Method.POST to { request: Request ->
                setSpeed(request.decode(EngineSpeed.serializer()))
                okJson(EngineSpeed.serializer(), speed)
            },
            "/control" bind Method.GET to { _: Request ->
                okJson(EngineStatus.serializer(), EngineStatus(speed, orderViolations))
            }
        )

    private fun load(request: Request): Response {
        val order = request.decode(LoadOrder.serializer())
        val refusal = stateLock.withLock { state.load(order).also { reportLoad() } }
        return refusal?.let(::refused) ?: okJson(LoadOrder.serializer(), order)
    }

    private fun release(request: Request): Response {
        val stream = request.decode(ReleaseOrder.serializer()).stream
        stateLock.withLock {
            state.release(stream)
            reportLoad()
        }
        return okJson(ReleaseOrder.serializer(), ReleaseOrder(stream))
    }

    private fun step(request: Request): Response {
        val items = request.decode(StepRequest.serializer()).items
        accelerator.withLock {
            when (val check = stateLock.withLock { state.check(items) }) {
                is StepCheck.Refused -> return refused(check.message)
                is StepCheck.Crash -> {
                    server.crash(settings.crashDownMs)
                    return silentResponse()
                }
                is StepCheck.Accepted -> occupy(check.positionLayers)
            }
            return run(items)
        }
    }

    // A load order or a crash may have changed the state while the accelerator was occupied.
    private fun run(items: List<EngineInput>): Response =
        stateLock.withLock {
            when (val check = state.check(items)) {
                is StepCheck.Refused -> refused(check.message)
                else -> {
                    val outputs = state.run(items)
                    reportLoad()
                    okJson(StepResponse.serializer(), StepResponse(outputs))
                }
            }
        }

    private fun occupy(positionLayers: Int) {
        val micros = speed.stepMs * MICROS_PER_MS + speed.positionLayerMicros * positionLayers
        val endNs = System.nanoTime() + (micros * NANOS_PER_MICRO).toLong()
        while (!Thread.currentThread().isInterrupted) {
            val leftNs = endNs - System.nanoTime()
            if (leftNs <= 0) return
            LockSupport.parkNanos(leftNs)
        }
    }

    private fun crashed() = stateLock.withLock {
        crashCount++
        state.crash()
        reportLoad()
    }

    private fun reportLoad() = report.set(state.load, System.currentTimeMillis())

    private fun refused(message: String): Response =
        jsonResponse(
            Status.CONFLICT,
            ProtocolJson.encodeToString(Refusal.serializer(), Refusal(message))
        )

    @Serializable
    private data class StepRequest(val items: List<EngineInput>)

    @Serializable
    private data class StepResponse(val items: List<EngineOutput>)

    @Serializable
    private data class ReleaseOrder(val stream: StreamKey)

    @Serializable
    private data class Refusal(val message: String)

    @Serializable
    private data class EngineStatus(val speed: EngineSpeed, val orderViolations: Int)

    private companion object {
        const val WORKERS = 16
        const val MICROS_PER_MS = 1_000.0
        const val NANOS_PER_MICRO = 1_000.0
    }
}
