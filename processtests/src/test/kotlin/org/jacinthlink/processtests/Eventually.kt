package org.jacinthlink.processtests

private const val POLL_INTERVAL_MS = 20L

/** Waits until [condition] holds; fails with [what] after [timeoutMs]. */
fun eventually(what: String, timeoutMs: Long, condition: () -> Boolean) {
    val deadlineNs = System.nanoTime() + timeoutMs * 1_000_000
    while (!condition()) {
        check(System.nanoTime() < deadlineNs) { "not within $timeoutMs ms: $what" }
        Thread.sleep(POLL_INTERVAL_MS)
    }
}
