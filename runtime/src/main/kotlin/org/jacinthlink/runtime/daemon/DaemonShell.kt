package org.jacinthlink.runtime.daemon

import org.jacinthlink.api.Failure
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Success
import org.jacinthlink.runtime.RunningProcess

/** A started daemon. */
interface DaemonShell :
    DaemonContext,
    RunningProcess

/**
 * Starts a daemon: its HTTP server, membership, configuration and [logic].
 *
 * [logic] is called before the server listens, so it reads the address of its context later only.
 */
fun startDaemon(setup: DaemonSetup, logic: (DaemonContext) -> DaemonLogic): Outcome<DaemonShell> {
    val shell = HttpDaemonShell(setup)
    return try {
        shell.start(logic)
        Success(shell)
    } catch (e: Exception) {
        shell.stop()
        val bindFault = generateSequence<Throwable>(e) { it.cause }.firstOrNull(::isBindFault)
        if (bindFault == null) throw e
        val address = "${setup.settings.host}:${setup.settings.port}"
        Failure(ResultCode.ADDRESS_IN_USE, "cannot listen on $address: ${bindFault.message}")
    }
}

private fun isBindFault(cause: Throwable): Boolean =
    cause is java.net.BindException || cause is java.nio.channels.UnresolvedAddressException
