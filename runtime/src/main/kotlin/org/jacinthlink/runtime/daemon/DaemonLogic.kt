package org.jacinthlink.runtime.daemon

import org.http4k.core.HttpHandler
import org.jacinthlink.api.Holding
import org.jacinthlink.api.LoadReport

/** What one kind of daemon adds to a [DaemonShell]. It ends with the scope of its context. */
interface DaemonLogic {
    /** Serves all paths that the shell does not serve. */
    val handler: HttpHandler

    /** True if callers reach [path] without the peer token, because [handler] checks them. */
    fun isOpen(path: String): Boolean = false

    /**
     * True if [path] is served on threads of its own, so that a flood of other requests does not
     * delay it. Its handler must return at once.
     */
    fun isControl(path: String): Boolean = false

    /** What `GET /v1/describe` tells of this daemon. */
    fun state(): DaemonState

    /** Number of requests in execution; a graceful stop waits until it is 0. */
    fun openWork(): Int

    /**
     * False while the process starts and knows too little to serve callers. `/health` tells it, so
     * that a load balancer waits.
     */
    val isSettled: Boolean get() = true

    /**
     * Time from the beginning of a graceful stop to [onDrain]. Requests are served meanwhile, as a
     * load balancer sends them until its next check of `/health`.
     */
    val drainNoticeMs: Long get() = 0

    /** Called once in a graceful stop; the process takes no new work from then on. */
    fun onDrain() = Unit
}

/** Changing part of a description. */
data class DaemonState(
    val ready: Boolean = true,
    val holding: Holding? = null,
    val load: LoadReport? = null
)
