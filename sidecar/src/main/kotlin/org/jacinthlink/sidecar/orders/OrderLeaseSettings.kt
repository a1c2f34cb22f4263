package org.jacinthlink.sidecar.orders

/**
 * Settings of an [OrderLease].
 *
 * @property safetyMarginMs Time before the lapse of the lease from which no order is sent. It
 *   covers the different speeds of two clocks and the way of an order to its engine.
 */
data class OrderLeaseSettings(val ttlMs: Long = 10_000, val safetyMarginMs: Long = 2_000)
