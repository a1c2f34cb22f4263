package org.jacinthlink.sidecar.orders

import org.jacinthlink.api.KeyValueService
import org.jacinthlink.api.LeaseResult
import org.jacinthlink.runtime.Clock
import org.jacinthlink.runtime.supervision.Scope

/** Lease that entitles its holder to order engines. Its id is the fencing number of the orders. */
class OrderLease internal constructor(
    private val keyValue: KeyValueService,
    private val settings: OrderLeaseSettings,
    private val monotonic: Clock
) {
    private class Held(val leaseId: Long, val untilMs: Long)

    @Volatile
    private var held: Held? = null

    /** The fencing number; null unless the lease is surely held for the safety margin. */
    fun fence(): Long? =
        held?.takeIf { monotonic.nowMs() < it.untilMs - settings.safetyMarginMs }?.leaseId

    /** Renews the lease, or takes a new one with a higher number if there is none. */
    @Synchronized
    fun refresh() {
        val present = held
        // Counted from before the call: the service may have started the term that early.
        val startMs = monotonic.nowMs()
        val result =
            if (present == null) {
                keyValue.grantLease(settings.ttlMs)
            } else {
                keyValue.renewLease(present.leaseId)
            }
        when (result) {
            is LeaseResult.Held -> held = Held(result.leaseId, startMs + result.ttlMs)
            LeaseResult.Expired -> held = null
            // The lease stays usable until its known term ends.
            is LeaseResult.Unavailable -> Unit
        }
    }
}

/** Takes a lease and renews it until [scope] closes. */
fun orderLease(
    keyValue: KeyValueService,
    scope: Scope,
    monotonic: Clock,
    settings: OrderLeaseSettings = OrderLeaseSettings()
): OrderLease {
    val lease = OrderLease(keyValue, settings, monotonic)
    scope.repeat("order-lease", { settings.ttlMs / 4 }, lease::refresh)
    return lease
}
