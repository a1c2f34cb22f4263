package org.jacinthlink.sidecar

import io.kotest.assertions.withClue
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.types.shouldBeInstanceOf
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import org.jacinthlink.api.Headers
import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.ListedInstance
import org.jacinthlink.api.LoadReport
import org.jacinthlink.api.ModelManifest
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.Role
import org.jacinthlink.api.StreamEvent
import org.jacinthlink.api.StreamKey
import org.jacinthlink.api.StreamOpen
import org.jacinthlink.api.Success
import org.jacinthlink.api.WorkspaceId
import org.jacinthlink.runtime.RunningProcess
import org.jacinthlink.runtime.daemon.DaemonSettings
import org.jacinthlink.runtime.http.LineListener
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.StreamCall
import org.jacinthlink.runtime.http.peerClient
import org.jacinthlink.standins.EngineSettings
import org.jacinthlink.standins.EngineSpeed
import org.jacinthlink.standins.EngineStandIn
import org.jacinthlink.standins.WeightStoreSettings
import org.jacinthlink.standins.startEngineStandIn
import org.jacinthlink.standins.startInstanceListStandIn
import org.jacinthlink.standins.startKeyValueStandIn
import org.jacinthlink.standins.startWeightStoreStandIn

/** One sidecar of a [TestPipeline] and its engine. */
internal class TestStage(
    val name: String,
    val engine: EngineStandIn,
    val sidecar: RunningProcess,
    val directAddress: String
)

/** Sidecars of one model with [layerCount] layers over stand-ins, in this JVM. */
internal class TestPipeline(private val layerCount: Int) : AutoCloseable {
    private val keyValue = startKeyValueStandIn()
    private val instanceList = startInstanceListStandIn()
    private val weightStore =
        startWeightStoreStandIn(
            WeightStoreSettings(models = listOf(ModelManifest(MODEL, layerCount, 1_000)))
        )
    private val client = peerClient { mapOf(Headers.PEER_TOKEN to TOKEN) }
    private var probes = 0
    val stages = ArrayList<TestStage>()

    /** Adds a sidecar; [advertised] makes its address from its own host and port. */
    fun add(
        name: String,
        firstLayer: Int,
        endLayer: Int,
        advertised: (String) -> String? = { null }
    ): TestStage {
        val engine =
            startEngineStandIn(EngineSettings(speed = EngineSpeed(4.0, 20.0), crashWord = "crash"))
        val port = ServerSocket(0).use { it.localPort }
        val address = advertised("127.0.0.1:$port")
        val settings =
            SidecarSettings(
                DaemonSettings(
                    name,
                    port = port,
                    advertisedAddress = address,
                    availabilityZone = "zone-a",
                    peerToken = TOKEN
                ),
                "http://${instanceList.address}",
                "http://${keyValue.address}",
                "http://${weightStore.address}",
                "http://${engine.address}",
                Holding.Stage(MODEL, firstLayer, endLayer, layerCount, 2_000.0)
            )
        val sidecar =
            startSidecar(settings).shouldBeInstanceOf<Success<RunningProcess>>().value
        instanceList.add(
            ListedInstance(
                InstanceId(name),
                Role.SIDECAR,
                address ?: "127.0.0.1:$port",
                "zone-a"
            )
        )
        return TestStage(name, engine, sidecar, "127.0.0.1:$port").also { stages += it }
    }

    /** Opens a stream at [head] until a route exists. */
    fun awaitReady(head: TestStage) {
        repeat(100) {
            val probe = open(head, "ready-${++probes}", listOf("x"), 1)
            probe.ended.get(5, TimeUnit.SECONDS)
            if (probe.events.last() is StreamEvent.End) return
            Thread.sleep(100)
        }
        error("the pipeline is not ready")
    }

    fun open(
        head: TestStage,
        id: String,
        prompt: List<String>,
        maxTokens: Int,
        emitted: List<String> = emptyList(),
        attempt: Int = 0
    ): TestStream {
        val open =
            StreamOpen(
                StreamKey(RequestId(id), attempt),
                WorkspaceId("w"),
                "urgent",
                MODEL,
                prompt,
                emitted,
                maxTokens,
                remainingMs = 10_000,
                fingerprint = id
            )
        val body = ProtocolJson.encodeToString(StreamOpen.serializer(), open)
        val call = PeerCall("POST", "http://${head.directAddress}/v1/streams", body)
        return TestStream(prompt).also { it.call = client.stream(call, 1_000, it) }
    }

    fun load(stage: TestStage): LoadReport {
        val call = PeerCall("GET", "http://${stage.sidecar.address}/v1/load")
        val answer = client.call(call, 1_000).shouldBeInstanceOf<PeerResult.Answered>()
        return ProtocolJson.decodeFromString(LoadReport.serializer(), answer.body)
    }

    /** Executions of [id] as (attempt, layer, position) with a count other than one, by engine. */
    fun repeatedExecutions(id: String): List<String> =
        stages.flatMap { stage ->
            stage.engine.executions(RequestId(id)).executions.filter { it.count != 1 }.map {
                "${stage.name}: $it"
            }
        }

    override fun close() {
        stages.parallelStream().forEach { it.sidecar.stop() }
        stages.parallelStream().forEach { it.engine.stop() }
        listOf(keyValue, instanceList, weightStore).forEach { it.stop() }
        client.close()
    }

    companion object {
        const val MODEL = "assistant"
        const val TOKEN = "test-peer-token-0123"
    }
}

/** A stream as an entry sees it. */
internal class TestStream(val prompt: List<String>) : LineListener {
    val events = CopyOnWriteArrayList<StreamEvent>()
    val ended = CompletableFuture<Unit>()
    lateinit var call: StreamCall

    @Volatile
    private var lastTokenMs = 0L

    @Volatile
    var longestGapMs = 0L
        private set

    val tokens: List<String>
        get() = events.filterIsInstance<StreamEvent.Token>().map { it.text }

    /** Waits until the stream has [count] tokens, and fails if it ends or stalls before. */
    fun awaitTokens(count: Int) {
        val endsAtNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(STALL_S)
        while (tokens.size < count && !ended.isDone && System.nanoTime() < endsAtNanos) {
            Thread.sleep(10)
        }
        withClue("stream of $prompt, last event ${events.lastOrNull()}") {
            tokens.size shouldBeGreaterThanOrEqual count
        }
    }

    override fun onLine(line: String) {
        val event = ProtocolJson.decodeFromString(StreamEvent.serializer(), line)
        events += event
        if (event is StreamEvent.Token) {
            val nowMs = System.currentTimeMillis()
            if (lastTokenMs > 0) longestGapMs = maxOf(longestGapMs, nowMs - lastTokenMs)
            lastTokenMs = nowMs
        }
    }

    override fun onEnd() {
        ended.complete(Unit)
    }

    override fun onFailure(result: PeerResult) {
        ended.completeExceptionally(IllegalStateException(result.toString()))
    }

    private companion object {
        const val STALL_S = 30L
    }
}
