package org.jacinthlink.decision.fleet

/**
 * The configuration that the operators have set.
 *
 * @property version Increases with each change, not always by one.
 * @property accessByKey Workspace of each API key; empty if no keys are used.
 */
data class FleetConfiguration(
    val version: Long,
    val routes: List<RouteRule>,
    val services: Map<String, ServiceDefinition>,
    val limits: ClientLimits,
    val accessByKey: Map<String, WorkspaceAccess>,
    val usesKeys: Boolean
)

/**
 * A workspace that an API key belongs to.
 *
 * @property priority Takes precedence over the priority of the route unless it is null.
 */
data class WorkspaceAccess(val workspace: String, val priority: Int?)

/**
 * A route from a host and a path prefix to services.
 *
 * @property timeoutMs Time limit of a request that does not set a shorter deadline.
 * @property targetLatencyMs Time within which a response, or the first event of a stream, is on
 *   time.
 * @property targetGapMs Maximum pause between events of a stream that is on time, or null.
 * @property priority Rank; 0 is the most urgent.
 * @property maxAttempts Maximum number of backend servers that may run one request.
 * @property isAnonymous True if requests need no API key.
 * @property isResumable True if a stream may continue on another backend server.
 */
data class RouteRule(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val targets: List<WeightedService>,
    val timeoutMs: Long,
    val targetLatencyMs: Long,
    val targetGapMs: Long?,
    val priority: Int,
    val maxAttempts: Int,
    val isAnonymous: Boolean,
    val isResumable: Boolean
) {
    /** True if a request may run more than once. */
    val isIdempotent: Boolean
        get() = kind == RouteKind.SAFE || kind == RouteKind.STREAM && isResumable

    /** Time after which a caller abandons a stream that has no further event. */
    val eventPatienceMs: Long
        get() = maxOf(
            MIN_EVENT_PATIENCE_MS,
            targetLatencyMs * PATIENCE_TARGETS,
            (targetGapMs ?: 0) * PATIENCE_GAPS
        )

    private companion object {
        const val MIN_EVENT_PATIENCE_MS = 2_000L
        const val PATIENCE_TARGETS = 4
        const val PATIENCE_GAPS = 8
    }
}

/** A service and its share of a route. */
data class WeightedService(val service: String, val weight: Double)

/** Whether requests of a route may be retried, and whether its responses are streams. */
enum class RouteKind { SAFE, UNSAFE, STREAM }

/** A service. [engine] is null for a plain service. */
data class ServiceDefinition(
    val name: String,
    val healthPath: String,
    val maxConnections: Int,
    val engine: EngineProfile?
)

/** Limits on the requests and connections of a client. */
data class ClientLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeoutMs: Long,
    val idleTimeoutMs: Long
)
