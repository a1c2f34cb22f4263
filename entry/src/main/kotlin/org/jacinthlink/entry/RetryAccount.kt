package org.jacinthlink.entry

import java.util.concurrent.atomic.AtomicReference
import org.jacinthlink.decision.routing.retryBudget

/** Retry budget of the whole entry. */
internal class RetryAccount(nowMs: Long) {
    private val budget = AtomicReference(retryBudget(nowMs))

    fun onRequest(nowMs: Long) {
        budget.updateAndGet { it.onRequest(nowMs) }
    }

    /** Takes one retry; false if the budget is used up. */
    fun withdraw(nowMs: Long): Boolean {
        while (true) {
            val before = budget.get()
            val after = before.withdraw(nowMs) ?: return false
            if (budget.compareAndSet(before, after)) return true
        }
    }
}
