package org.jacinthlink.sidecar.orders

import org.jacinthlink.api.EngineResult
import org.jacinthlink.api.Holding
import org.jacinthlink.api.LoadOrder
import org.jacinthlink.api.ModelEngine

/**
 * The only path of load orders to one engine.
 *
 * It refuses fencing numbers below the highest one seen, since some engines ignore them. Checks and
 * order are one step: an order that was checked before a pause is sent before any later one.
 */
class EngineOrders internal constructor(private val engine: ModelEngine) {
    private var highestFence = Long.MIN_VALUE

    /** Orders the engine to hold the layers of [stage] on behalf of the holder of [lease]. */
    @Synchronized
    fun load(lease: OrderLease, stage: Holding.Stage): EngineResult<Unit> {
        val fence =
            lease.fence() ?: return EngineResult.Refused("the lease for orders is not held")
        if (fence < highestFence) {
            return EngineResult.Refused("fencing number $fence is below $highestFence")
        }
        highestFence = fence
        val order =
            LoadOrder(stage.model, stage.firstLayer, stage.endLayer, stage.layerCount, fence)
        return engine.load(order)
    }
}

/** Guards the load orders to [engine]. There must be one guard for each engine. */
fun engineOrders(engine: ModelEngine): EngineOrders = EngineOrders(engine)
