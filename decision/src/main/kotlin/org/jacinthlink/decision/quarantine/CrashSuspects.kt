package org.jacinthlink.decision.quarantine

/**
 * Crashes of backend servers by the fingerprint of the requests that they ran.
 *
 * @property crashTimesMs Times of the unexpired crashes of each fingerprint, oldest first.
 */
data class CrashSuspects(val crashTimesMs: Map<String, List<Long>> = emptyMap())

/** Adds a crash at [nowMs] for each of [fingerprints], the requests that ran in the batch. */
fun recordCrash(
    suspects: CrashSuspects,
    fingerprints: Collection<String>,
    nowMs: Long,
    limits: CrashLimits = CrashLimits()
): CrashSuspects {
    val added =
        fingerprints.toSet().associateWith { fingerprint ->
            (suspects.crashTimesMs[fingerprint].orEmpty() + nowMs)
                .takeLast(limits.refusedAtCrashes)
        }
    val unexpired =
        (suspects.crashTimesMs + added).filterValues { !isExpired(it.last(), nowMs, limits) }
    val kept =
        if (unexpired.size <= limits.maxFingerprints) {
            unexpired
        } else {
            unexpired.entries
                .sortedBy { it.value.last() }
                .takeLast(limits.maxFingerprints)
                .associate { it.toPair() }
        }
    return CrashSuspects(kept)
}

/** Says how a request with [fingerprint] may run. */
fun runMode(
    suspects: CrashSuspects,
    fingerprint: String,
    nowMs: Long,
    limits: CrashLimits = CrashLimits()
): RunMode {
    val crashes =
        suspects.crashTimesMs[fingerprint].orEmpty().count { !isExpired(it, nowMs, limits) }
    return when {
        crashes >= limits.refusedAtCrashes -> RunMode.REFUSED
        crashes > 0 -> RunMode.ISOLATED
        else -> RunMode.NORMAL
    }
}

private fun isExpired(crashedAtMs: Long, nowMs: Long, limits: CrashLimits) =
    nowMs - crashedAtMs >= limits.expiryMs
