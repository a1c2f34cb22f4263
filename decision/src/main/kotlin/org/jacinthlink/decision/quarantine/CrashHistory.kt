package org.jacinthlink.decision.quarantine

/**
 * Crashes of backend servers by the fingerprint of the requests that they ran.
 *
 * @property crashes Counted crashes of each fingerprint, oldest first.
 */
data class CrashHistory(val crashes: Map<String, List<CrashRecord>> = emptyMap())

/**
 * Adds [crash] for [fingerprint], unless a crash with its id is already counted.
 *
 * A crash in a shared step may be caused by another request of that step. Several copies of a
 * harmless content may each share a step with a content that causes crashes, so at most one crash
 * in a shared step counts.
 */
fun recordCrash(
    history: CrashHistory,
    fingerprint: String,
    crash: CrashRecord,
    limits: CrashLimits = CrashLimits()
): CrashHistory {
    val counted = crashesOf(history, fingerprint, crash.atMs, limits)
    val isCounted =
        counted.none { it.id == crash.id } && (crash.isolated || counted.all { it.isolated })
    if (!isCounted) return history
    val added = history.crashes + (fingerprint to counted + crash)
    val kept = added.filterValues { !isExpired(it.last(), crash.atMs, limits) }
    return CrashHistory(newest(kept, limits.maxFingerprints))
}

/** Removes the crashes of [fingerprint] whose ids are in [crashIds]. */
fun clearCrashes(
    history: CrashHistory,
    fingerprint: String,
    crashIds: Set<String>
): CrashHistory {
    val left = history.crashes[fingerprint].orEmpty().filter { it.id !in crashIds }
    val others = history.crashes - fingerprint
    return CrashHistory(if (left.isEmpty()) others else others + (fingerprint to left))
}

/** Returns the crashes of [fingerprint] that have not expired. */
fun crashesOf(
    history: CrashHistory,
    fingerprint: String,
    nowMs: Long,
    limits: CrashLimits = CrashLimits()
): List<CrashRecord> =
    history.crashes[fingerprint].orEmpty().filter { !isExpired(it, nowMs, limits) }

/** Decides how a request with [fingerprint] may run. */
fun runMode(
    history: CrashHistory,
    fingerprint: String,
    nowMs: Long,
    limits: CrashLimits = CrashLimits()
): RunMode {
    val crashes = crashesOf(history, fingerprint, nowMs, limits).size
    return when {
        crashes >= limits.refusalThreshold -> RunMode.REFUSED
        crashes > 0 -> RunMode.ISOLATED
        else -> RunMode.NORMAL
    }
}

private fun newest(crashes: Map<String, List<CrashRecord>>, count: Int) =
    if (crashes.size <= count) {
        crashes
    } else {
        crashes.entries
            .sortedBy { it.value.last().atMs }
            .takeLast(count)
            .associate { it.toPair() }
    }

private fun isExpired(crash: CrashRecord, nowMs: Long, limits: CrashLimits) =
    nowMs - crash.atMs >= limits.expiryMs
