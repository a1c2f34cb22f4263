package org.jacinthlink.decision.quarantine

/**
 * Crashes of backend servers by the fingerprint of the requests that they ran.
 *
 * @property crashes Crashes counted for each fingerprint, oldest first.
 */
data class CrashHistory(val crashes: Map<String, List<CrashRecord>> = emptyMap())

/**
 * Adds [crash] for [fingerprint], unless it is known already by its id.
 *
 * A crash in a shared step may be due to another request. Several copies of a harmless content may
 * each share a step with one that crashes, so at most one crash in a shared step counts.
 */
fun recordCrash(
    suspects: CrashHistory,
    fingerprint: String,
    crash: CrashRecord,
    limits: CrashLimits = CrashLimits()
): CrashHistory {
    val known = crashesOf(suspects, fingerprint, crash.atMs, limits)
    val isCounted =
        known.none { it.id == crash.id } && (crash.isolated || known.all { it.isolated })
    if (!isCounted) return suspects
    val added = suspects.crashes + (fingerprint to known + crash)
    val kept = added.filterValues { !isExpired(it.last(), crash.atMs, limits) }
    return CrashHistory(newest(kept, limits.maxFingerprints))
}

/** Removes the crashes of [fingerprint] that have one of [crashIds]. */
fun clearCrashes(
    suspects: CrashHistory,
    fingerprint: String,
    crashIds: Set<String>
): CrashHistory {
    val left = suspects.crashes[fingerprint].orEmpty().filter { it.id !in crashIds }
    val others = suspects.crashes - fingerprint
    return CrashHistory(if (left.isEmpty()) others else others + (fingerprint to left))
}

/** Crashes that count for [fingerprint]. */
fun crashesOf(
    suspects: CrashHistory,
    fingerprint: String,
    nowMs: Long,
    limits: CrashLimits = CrashLimits()
): List<CrashRecord> =
    suspects.crashes[fingerprint].orEmpty().filter { !isExpired(it, nowMs, limits) }

/** Says how a request with [fingerprint] may run. */
fun runMode(
    suspects: CrashHistory,
    fingerprint: String,
    nowMs: Long,
    limits: CrashLimits = CrashLimits()
): RunMode {
    val crashes = crashesOf(suspects, fingerprint, nowMs, limits).size
    return when {
        crashes >= limits.refusedAtCrashes -> RunMode.REFUSED
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
