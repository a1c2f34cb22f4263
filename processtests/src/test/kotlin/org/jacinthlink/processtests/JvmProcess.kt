package org.jacinthlink.processtests

import kotlin.io.path.readText
import org.jacinthlink.cli.site.DaemonProcess
import org.jacinthlink.runtime.RunningProcess
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.peerClient

/** One daemon of the system as an operating-system process that tests kill and freeze. */
class JvmProcess(private val daemon: DaemonProcess) : RunningProcess by daemon {
    val name: String get() = daemon.name

    val pid: Long get() = daemon.pid

    val isAlive: Boolean get() = daemon.isAlive

    /** Output of the process so far. */
    fun readLog(): String = daemon.log.readText()

    /** Waits until `/health` answers. */
    fun awaitHealthy(timeoutMs: Long = 20_000) =
        eventually("$name is healthy", timeoutMs) {
            check(isAlive) { "$name has ended:\n${readLog().takeLast(2_000)}" }
            val result = client.call(PeerCall("GET", "http://$address/health"), 500)
            result is PeerResult.Answered && result.isSuccess
        }

    /** Ends the process without notice, as a crash does. */
    fun kill() = stop()

    /** Stops the process from running without closing its connections. */
    fun freeze() = signal("STOP")

    /** Lets a frozen process go on. */
    fun thaw() = signal("CONT")

    /** Waits for the end of the process; false if it still runs after [timeoutMs]. */
    fun awaitEnd(timeoutMs: Long): Boolean = daemon.awaitEnd(timeoutMs)

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", pid.toString()).start().waitFor()
    }

    private companion object {
        val client = peerClient()
    }
}
