package org.jacinthlink.cli.load

/** Computes the report of the [finished] requests of [plan]. */
internal fun loadReport(
    plan: LoadPlan,
    finished: List<FinishedRequest>,
    maxSendDelayUs: Long
): LoadReport =
    LoadReport(
        plan,
        maxSendDelayUs / MICROS_PER_MS,
        finished.groupBy { it.request.stream.workClass }.mapValues { figures(plan, it.value) },
        finished.groupBy { it.request.stream.workspace }.mapValues { figures(plan, it.value) },
        finished.groupBy { it.request.stream.workClass }.mapValues { series(plan, it.value) }
    )

/** Figures of [finished]; there must be one at least. */
internal fun figures(plan: LoadPlan, finished: List<FinishedRequest>): WorkFigures {
    val answered = finished.filter { it.isAnswered }
    val withinTarget = answered.count { isGood(plan, it) }
    val outcomes = finished.groupingBy { it.outcome }.eachCount()
    return WorkFigures(
        sent = finished.size,
        answered = answered.size,
        refusedNotRun = outcomes[RequestOutcome.REFUSED_NOT_RUN] ?: 0,
        failed = outcomes[RequestOutcome.FAILED] ?: 0,
        unknown = outcomes[RequestOutcome.UNKNOWN] ?: 0,
        notSent = outcomes[RequestOutcome.NOT_SENT] ?: 0,
        wrong = answered.count { it.isWrong },
        withinTarget = withinTarget,
        withinTargetShare = withinTarget.toDouble() / finished.size,
        timeToFirstTokenMs = percentiles(answered.map { it.firstTokenUs }),
        wholeAnswerMs = percentiles(answered.map { it.wholeAnswerUs }),
        tokenGapMs =
        percentiles(answered.flatMap { it.tokenTimesUs.zipWithNext { a, b -> b - a } })
    )
}

/** True for a whole, right answer within the target of its class. */
internal fun isGood(plan: LoadPlan, finished: FinishedRequest): Boolean {
    val targetMs = plan.targetsMs.getValue(finished.request.stream.workClass)
    return finished.isAnswered &&
        !finished.isWrong &&
        finished.firstTokenUs <= targetMs * MICROS_PER_MS
}

private fun series(plan: LoadPlan, finished: List<FinishedRequest>): List<SecondFigures> {
    val sent = finished.groupBy { second(it.request.sendAtUs) }
    val good = finished.filter { isGood(plan, it) }.groupingBy { second(it.endedAtUs) }.eachCount()
    val last = maxOf(sent.keys.maxOrNull() ?: 0, good.keys.maxOrNull() ?: 0)
    return (0..last).map { second ->
        val scheduled = sent[second].orEmpty()
        SecondFigures(
            second,
            scheduled.size,
            good[second] ?: 0,
            percentiles(scheduled.filter { it.isAnswered }.map { it.firstTokenUs }).p95
        )
    }
}

internal fun percentiles(timesUs: List<Long>): Percentiles {
    val histogram = histogramUs()
    timesUs.forEach { histogram.recordValue(it.coerceAtLeast(0)) }
    return percentilesMs(histogram)
}

private fun second(timeUs: Long) = (timeUs / MICROS_PER_SECOND).toInt()

private const val MICROS_PER_MS = 1_000.0
private const val MICROS_PER_SECOND = 1_000_000L
