package org.jacinthlink.entry

import io.micrometer.core.instrument.MeterRegistry
import java.util.concurrent.TimeUnit
import org.jacinthlink.api.ResultCode
import org.jacinthlink.entry.admin.ClassFigures
import org.jacinthlink.entry.admin.FiguresWindow
import org.jacinthlink.entry.admin.answeredFigures
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.configuration.ConfigurationView

/** Counters and timers of an entry. Classes are tagged by name only once they are known. */
internal class EntryMetrics(
    private val meters: MeterRegistry,
    private val clock: Clock,
    private val configuration: ConfigurationView
) {
    private val window = FiguresWindow()
    private val retries = meters.counter("jacinthlink.retries")
    private val permitsSkipped = meters.counter("jacinthlink.permits.skipped")
    private val attempts = meters.summary("jacinthlink.attempts")

    /**
     * Counts a request that ended; [code] is null on success.
     *
     * @param firstAnswerMs Time to the first token, or to the whole answer of a plain call.
     */
    fun ended(
        workClass: String?,
        code: ResultCode?,
        attemptCount: Int,
        notRun: Boolean = true,
        firstAnswerMs: Long? = null
    ) {
        count(workClass, code?.number?.toString() ?: "0", attemptCount)
        val targetMs = configuration.current.classes[workClass ?: return]?.targetMs ?: return
        val figures =
            when {
                code != null && notRun -> ClassFigures(refused = 1)
                code != null || firstAnswerMs == null -> ClassFigures(failed = 1)
                else -> answeredFigures(firstAnswerMs, targetMs)
            }
        window.add(workClass, figures, clock.nowMs())
    }

    /** Figures of each class over the last minute. */
    fun figures(nowMs: Long): Map<String, ClassFigures> = window.total(nowMs)

    /** Counts a request whose caller went away. */
    fun callerGone(workClass: String, attemptCount: Int) =
        count(workClass, "caller_gone", attemptCount)

    fun retried() = retries.increment()

    /** Counts a request that ran without a permit, because the budget of questions was used up. */
    fun permitSkipped() = permitsSkipped.increment()

    fun firstToken(workClass: String, elapsedMs: Long) =
        meters.timer("jacinthlink.first.token", "class", workClass)
            .record(elapsedMs, TimeUnit.MILLISECONDS)

    fun tokenGap(workClass: String, gapMs: Long) =
        meters.timer("jacinthlink.token.gap", "class", workClass)
            .record(gapMs, TimeUnit.MILLISECONDS)

    fun callAnswered(workClass: String, elapsedMs: Long) =
        meters.timer("jacinthlink.call", "class", workClass)
            .record(elapsedMs, TimeUnit.MILLISECONDS)

    private fun count(workClass: String?, code: String, attemptCount: Int) {
        val tags = arrayOf("class", workClass ?: "unknown", "code", code)
        meters.counter("jacinthlink.requests", *tags).increment()
        attempts.record(attemptCount.toDouble())
    }
}
