package org.jacinthlink.entry.chat

import java.util.concurrent.ConcurrentHashMap
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.RequestId
import org.jacinthlink.decision.quarantine.ContentRun
import org.jacinthlink.decision.quarantine.ContentRuns
import org.jacinthlink.decision.quarantine.RunMode
import org.jacinthlink.decision.routing.RetryBudget
import org.jacinthlink.entry.EntryContext
import org.jacinthlink.entry.tryExecute

/**
 * Bounds the open runs of each content over all entries, so that copies sent at once crash no more
 * backend servers than copies sent one after the other.
 *
 * The home of a content, an entry chosen by rendezvous hash, permits its runs. It asks the entries
 * that hold earlier runs what became of them only when another copy arrives, so that a content sent
 * once costs one message. A content that was answered in full needs no permit for a while, and the
 * questions about contents without a known crash have a budget.
 */
internal class ContentPermits(
    private val context: EntryContext,
    private val crashes: CrashRegister
) {
    private val peers = PermitPeers(context)

    // Guarded by itself.
    private val runs = ContentRuns()

    // Guarded by runs.
    private var budget = questionBudget(now())
    private val open = ConcurrentHashMap.newKeySet<RequestId>()

    /** Asks how a request of this entry may run; [onPermit] may be called before the return. */
    fun request(fingerprint: String, requestId: RequestId, onPermit: (RunMode) -> Unit) {
        open += requestId
        if (wasAnswered(fingerprint)) return onPermit(RunMode.NORMAL)
        val run = ContentRun(fingerprint, requestId, context.instance)
        val home = peers.homeOf(fingerprint)
        val isLocal =
            home == context.instance && others(run).all { it.holder == context.instance }
        when {
            isLocal -> onPermit(permit(run))
            !mayAsk(fingerprint) -> {
                context.metrics.permitSkipped()
                onPermit(RunMode.NORMAL)
            }
            !context.permits.tryExecute { onPermit(permitOf(home, run)) } ->
                onPermit(unpermitted(run, "too many questions wait"))
        }
    }

    private fun mayAsk(fingerprint: String): Boolean {
        val nowMs = now()
        if (crashes.known(fingerprint, nowMs).isNotEmpty()) return true
        return synchronized(runs) { budget.withdraw(nowMs)?.also { budget = it } != null }
    }

    /** Notes that a request of this entry with [fingerprint] was answered in full. */
    fun answered(fingerprint: String) =
        synchronized(runs) { runs.answered(fingerprint, now()) }

    /** Notes that [requestId] of this entry is over. */
    fun ended(fingerprint: String, requestId: RequestId) {
        open -= requestId
        synchronized(runs) { runs.ended(fingerprint, requestId) }
    }

    /** Decides as the home of a content for another entry. */
    fun permit(ask: PermitAsk): PermitAnswer {
        crashes.noticed(ask.crashes, now())
        val mode = permit(ContentRun(ask.fingerprint, ask.requestId, ask.holder))
        return PermitAnswer(mode, crashes.known(ask.fingerprint, now()))
    }

    /** Tells the home of a content about runs of this entry. */
    fun runs(ask: RunsAsk): RunsAnswer =
        RunsAnswer(
            ask.requestIds.filter { it in open },
            wasAnswered(ask.fingerprint),
            crashes.known(ask.fingerprint, now())
        )

    private fun permitOf(home: InstanceId, run: ContentRun): RunMode {
        if (home == context.instance) return permit(run)
        val known = crashes.known(run.fingerprint, now())
        val ask = PermitAsk(run.fingerprint, run.requestId, run.holder, known)
        val answer =
            peers.askPermit(home, ask) ?: return unpermitted(run, "no answer of ${home.value}")
        crashes.noticed(answer.crashes, now())
        return answer.mode
    }

    private fun permit(run: ContentRun): RunMode {
        others(run).groupBy { it.holder }.forEach(::checkOpen)
        val nowMs = now()
        return if (crashes.mode(run.fingerprint, nowMs) == RunMode.REFUSED) {
            RunMode.REFUSED
        } else {
            val count = crashes.known(run.fingerprint, nowMs).size
            synchronized(runs) { runs.permit(run, count, nowMs) }
        }
    }

    // A holder that does not answer keeps its runs.
    private fun checkOpen(holder: InstanceId, held: List<ContentRun>) {
        val fingerprint = held.first().fingerprint
        val answer =
            if (holder == context.instance) {
                runs(RunsAsk(fingerprint, held.map { it.requestId }))
            } else {
                peers.askRuns(holder, held) ?: return
            }
        crashes.noticed(answer.crashes, now())
        val ended = held.map { it.requestId } - answer.open.toSet()
        synchronized(runs) {
            ended.forEach { runs.ended(fingerprint, it) }
            if (answer.answered) runs.answered(fingerprint, now())
        }
    }

    // Service goes before the bound on crashes while the home of a content cannot be asked.
    private fun unpermitted(run: ContentRun, reason: String): RunMode {
        context.eventLog.record("permit_not_asked", run.requestId, "reason" to reason)
        return crashes.mode(run.fingerprint, now())
    }

    private fun others(run: ContentRun) = synchronized(runs) { runs.others(run, now()) }

    private fun wasAnswered(fingerprint: String): Boolean {
        val nowMs = now()
        return synchronized(runs) { runs.wasAnswered(fingerprint, nowMs) } &&
            crashes.mode(fingerprint, nowMs) == RunMode.NORMAL
    }

    private fun now() = context.clock.nowMs()

    private companion object {
        // A question and its answer are about 590 bytes at each of two entries. Three a second
        // leave most of the 13 KB/s of a node to the other control traffic; a site of a few
        // requests a second asks about each new content.
        const val QUESTIONS_PER_SECOND = 3.0
        const val BURST = 32.0

        fun questionBudget(nowMs: Long) =
            RetryBudget(BURST, nowMs, BURST, perRequest = 0.0, perSecond = QUESTIONS_PER_SECOND)
    }
}
