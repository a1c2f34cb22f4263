package org.jacinthlink.sidecar.calls

import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.URI
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerClient
import org.jacinthlink.runtime.http.PeerResult

/** Finds out whether the plain service at [baseUrl] can be reached. */
internal class ServiceProbe(
    private val baseUrl: String,
    private val settings: ProbeSettings,
    private val client: PeerClient,
    private val onChange: (Boolean) -> Unit
) {
    private var failures = 0

    /** False until the first probe succeeds, and after [ProbeSettings.failures] failed ones. */
    @Volatile
    var ready = false
        private set

    /** Probes once. Called by one thread only. */
    fun probe() {
        val reached = settings.path?.let(::answers) ?: connects()
        failures = if (reached) 0 else failures + 1
        val next = reached || (ready && failures < settings.failures)
        if (next == ready) return
        ready = next
        onChange(next)
    }

    private fun answers(path: String): Boolean {
        val call = PeerCall("GET", baseUrl.trimEnd('/') + path)
        val result = client.call(call, settings.timeoutMs, fresh = true)
        return result is PeerResult.Answered && result.status < SERVER_ERROR
    }

    private fun connects(): Boolean =
        try {
            val uri = URI(baseUrl)
            val port = if (uri.port >= 0) uri.port else HTTP_PORT
            Socket().use {
                it.connect(InetSocketAddress(uri.host, port), settings.timeoutMs.toInt())
            }
            true
        } catch (_: IOException) {
            false
        }

    private companion object {
        const val SERVER_ERROR = 500
        const val HTTP_PORT = 80
    }
}
