package org.jacinthlink.entry

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.util.concurrent.CopyOnWriteArrayList
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.jacinthlink.api.CallAnswer
import org.jacinthlink.api.Configuration
import org.jacinthlink.api.ConfigurationChange
import org.jacinthlink.api.Holding
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.ListedInstance
import org.jacinthlink.api.LoadReport
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.Role
import org.jacinthlink.api.StreamEvent
import org.jacinthlink.api.StreamOpen
import org.jacinthlink.api.Success
import org.jacinthlink.api.WorkClass
import org.jacinthlink.decision.configuration.applyChange
import org.jacinthlink.runtime.configuration.AppliedChange
import org.jacinthlink.runtime.configuration.ConfigurationEditor
import org.jacinthlink.runtime.configuration.ConfigurationView
import org.jacinthlink.runtime.daemon.DaemonSettings
import org.jacinthlink.runtime.events.eventLog
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.PushBody
import org.jacinthlink.runtime.http.PushSink
import org.jacinthlink.runtime.http.ServerLimits
import org.jacinthlink.runtime.http.jsonResponse
import org.jacinthlink.runtime.http.peerClient
import org.jacinthlink.runtime.http.startHttpServer
import org.jacinthlink.runtime.membership.KnownInstance
import org.jacinthlink.runtime.membership.KnownMember
import org.jacinthlink.runtime.membership.MemberState
import org.jacinthlink.runtime.membership.Membership
import org.jacinthlink.runtime.supervision.rootScope
import org.jacinthlink.runtime.systemClock

const val OPERATOR_TOKEN = "operator-token-of-tests"

/** Membership that a test fills, and that forgets what is reported. */
class FakeMembership : Membership {
    private val known = CopyOnWriteArrayList<KnownInstance>()
    private val listeners = CopyOnWriteArrayList<() -> Unit>()
    private val unreachable = CopyOnWriteArrayList<KnownInstance>()
    private val drainingEntries = CopyOnWriteArrayList<KnownInstance>()

    override fun instances(): List<KnownInstance> = known.toList()

    override fun unreachable(): List<KnownInstance> = unreachable.toList()

    override fun members(): List<KnownMember> =
        known.map { KnownMember(listed(it), it, MemberState.AVAILABLE) } +
            unreachable.map { KnownMember(listed(it), it, MemberState.UNREACHABLE) } +
            drainingEntries.map { KnownMember(listed(it), it, MemberState.DRAINING) }

    private fun listed(known: KnownInstance) =
        known.description.let {
            ListedInstance(it.instance, it.role, it.address, it.availabilityZone)
        }

    override val isComplete: Boolean = true

    override fun reportUnreachable(instance: InstanceId) {
        unreachable += known.filter { it.description.instance == instance }
        remove(instance)
    }

    override fun reportDraining(instance: InstanceId) = remove(instance)

    override fun probe(instance: InstanceId) = Unit

    override fun addListener(listener: () -> Unit) {
        listeners += listener
    }

    fun add(id: String, port: Int, holding: Holding) {
        val description =
            InstanceDescription(
                InstanceId(id),
                Role.SIDECAR,
                "127.0.0.1:$port",
                "a",
                0,
                holding = holding
            )
        known += KnownInstance(description, 0)
        listeners.forEach { it() }
    }

    fun addEntry(id: String, port: Int, draining: Boolean) {
        val address = "127.0.0.1:$port"
        val description =
            InstanceDescription(InstanceId(id), Role.ENTRY, address, "a", 0, draining = draining)
        (if (draining) drainingEntries else known) += KnownInstance(description, 0)
    }

    private fun remove(instance: InstanceId) {
        known.removeIf { it.description.instance == instance }
        listeners.forEach { it() }
    }
}

/** Configuration without a key-value service. */
class FakeConfiguration :
    ConfigurationView,
    ConfigurationEditor {
    @Volatile
    override var current =
        Configuration(
            classes = listOf(
                WorkClass("urgent", 5_000, worth = 5),
                WorkClass("brief", 700, worth = 1)
            )
                .associateBy { it.name }
        )

    override fun addListener(listener: (Configuration) -> Unit) = Unit

    @Synchronized
    override fun apply(change: ConfigurationChange, expectedRevision: Long?) =
        when (val next = applyChange(current, change)) {
            is Success -> {
                current = next.value.copy(revision = current.revision + 1)
                Success(AppliedChange(current.revision, emptyMap(), emptyList()))
            }
            else -> error("not expected: $next")
        }
}

/** An entry on a real port, with sidecars that a test scripts. */
internal class Fixture : AutoCloseable {
    val membership = FakeMembership()
    val configuration = FakeConfiguration()
    val opened = CopyOnWriteArrayList<StreamOpen>()
    val called = CopyOnWriteArrayList<String>()
    var draining = false
        set(value) {
            field = value
            context.isClosed = value
        }
    private val clock = systemClock()
    private val log = eventLog("entry", clock)
    private val scope = rootScope("entry", log)
    val client = peerClient()
    private val context =
        EntryContext(
            InstanceId("entry"),
            EntrySettings(
                DaemonSettings("entry", port = 0, availabilityZone = "a", peerToken = "none"),
                "http://127.0.0.1:1",
                "http://127.0.0.1:1",
                OPERATOR_TOKEN,
                EntryLimits(maxBodyBytes = 4_000, settlingMs = 0)
            ),
            clock,
            scope,
            log,
            SimpleMeterRegistry(),
            client,
            membership,
            configuration,
            configuration
        ) { draining }
    val entry = EntryServer(context).apply { start() }
    private val servers =
        CopyOnWriteArrayList(
            listOf(
                startHttpServer("127.0.0.1", 0, ServerLimits(maxBodyBytes = 4_000), entry::handle)
            )
        )
    val base = "http://127.0.0.1:${servers.first().port}"

    /** Adds a head whose answer to a stream is [script]. */
    fun head(id: String, script: (StreamOpen, PushSink) -> Unit) {
        val server =
            startHttpServer("127.0.0.1", 0, ServerLimits()) { request -> stream(request, script) }
        servers += server
        membership.add(id, server.port, Holding.Stage("m", 0, 2, 2, 100.0))
    }

    /** Adds another entry that answers after [delayMs]; its paths and bodies go to [called]. */
    fun entryPeer(id: String, draining: Boolean = false, delayMs: Long = 0) {
        val server = startHttpServer("127.0.0.1", 0, ServerLimits()) { request ->
            called += "$id ${request.uri.path} ${request.bodyString()}"
            Thread.sleep(delayMs)
            Response(Status.NO_CONTENT)
        }
        servers += server
        membership.addEntry(id, server.port, draining)
    }

    /** Adds a sidecar of service `ledger`; a null answer breaks the call. */
    fun sidecar(id: String, answer: (String) -> CallAnswer?) =
        membership.add(id, sidecarAt(id, 0, answer), Holding.Service("ledger"))

    /** Starts a sidecar on [port] without telling the membership; returns its port. */
    fun sidecarAt(id: String, port: Int, answer: (String) -> CallAnswer?): Int {
        val server = startHttpServer("127.0.0.1", port, ServerLimits()) { request ->
            called += "$id ${request.uri.path}"
            val json = answer(request.uri.path)?.let {
                ProtocolJson.encodeToString(CallAnswer.serializer(), it)
            }
            jsonResponse(Status.OK, json.orEmpty())
        }
        servers += server
        return server.port
    }

    fun post(
        path: String,
        body: String = "",
        headers: Map<String, String> = emptyMap(),
        method: String = "POST"
    ): PeerResult.Answered {
        val all = mapOf("x-jacinthlink-workspace" to "w", "x-jacinthlink-class" to "urgent")
        val call = PeerCall(method, base + path, body.takeIf { method != "GET" }, all + headers)
        return client.call(call, 9_000, fresh = true) as PeerResult.Answered
    }

    override fun close() {
        scope.close()
        servers.forEach { it.stop() }
        client.close()
    }

    private fun stream(request: Request, script: (StreamOpen, PushSink) -> Unit): Response {
        if (request.uri.path != "/v1/streams") return Response(Status.NOT_FOUND)
        val open = ProtocolJson.decodeFromString(StreamOpen.serializer(), request.bodyString())
        opened += open
        return Response(Status.OK).body(
            PushBody { sink ->
                sink.event(StreamEvent.Accepted(LoadReport()))
                script(open, sink)
            }
        )
    }
}

/** Sends one line of a stream. */
fun PushSink.event(event: StreamEvent) {
    send(ProtocolJson.encodeToString(StreamEvent.serializer(), event) + "\n")
}

/** Sends the tokens of [range], and the end after the token before [total]. */
fun PushSink.tokens(range: IntRange, total: Int) {
    range.forEach { event(StreamEvent.Token(it, " t$it")) }
    if (range.last + 1 == total) event(StreamEvent.End("stop", total))
    close()
}
