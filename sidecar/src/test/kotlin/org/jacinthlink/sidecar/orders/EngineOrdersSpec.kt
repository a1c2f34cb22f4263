package org.jacinthlink.sidecar.orders

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.concurrent.atomic.AtomicLong
import org.jacinthlink.api.EngineInput
import org.jacinthlink.api.EngineLoad
import org.jacinthlink.api.EngineResult
import org.jacinthlink.api.Holding
import org.jacinthlink.api.LoadOrder
import org.jacinthlink.api.ModelEngine
import org.jacinthlink.api.StreamKey
import org.jacinthlink.sidecar.calls.FakeKeyValueService

class EngineOrdersSpec :
    DescribeSpec({
        val done = EngineResult.Done(Unit)
        val stage = Holding.Stage("m", 0, 4, 8, 100.0)
        val settings = OrderLeaseSettings(ttlMs = 1_000, safetyMarginMs = 200)

        fun lease(keyValue: FakeKeyValueService, nowMs: () -> Long) =
            OrderLease(keyValue, settings, nowMs).apply { refresh() }

        describe("a holder that was paused until its lease lapsed") {
            it("sends no order, from the safety margin on") {
                val nowMs = AtomicLong()
                val engine = CarelessEngine()
                val lease = lease(FakeKeyValueService(), nowMs::get)
                nowMs.set(799)
                engineOrders(engine).load(lease, stage) shouldBe done
                nowMs.set(800)
                engineOrders(engine).load(lease, stage)
                    .shouldBeInstanceOf<EngineResult.Refused>()
                engine.fences shouldBe listOf(1L)
            }
            it("is refused by its number, even if its clock stood still during the pause") {
                val keyValue = FakeKeyValueService()
                val engine = CarelessEngine()
                val orders = engineOrders(engine)
                val paused = lease(keyValue) { 0 }
                val successor = lease(keyValue) { 0 }
                orders.load(paused, stage) shouldBe done
                orders.load(successor, stage) shouldBe done
                orders.load(paused, stage).shouldBeInstanceOf<EngineResult.Refused>()
                engine.fences shouldBe listOf(1L, 2L)
            }
            it("orders again only under a new and higher number") {
                val nowMs = AtomicLong()
                val keyValue = FakeKeyValueService()
                val lease = lease(keyValue, nowMs::get)
                keyValue.expireLeases()
                lease.refresh()
                lease.fence() shouldBe null
                lease.refresh()
                lease.fence() shouldBe 2L
            }
        }

        describe("an outage of the key-value service") {
            it("ends the right to order when the known term of the lease ends") {
                val nowMs = AtomicLong()
                val keyValue = FakeKeyValueService()
                val lease = lease(keyValue, nowMs::get)
                keyValue.isDown = true
                nowMs.set(500)
                lease.refresh()
                lease.fence() shouldBe 1L
                nowMs.set(800)
                lease.fence() shouldBe null
            }
        }
    })

/** Engine that obeys every order, whatever its number. */
private class CarelessEngine : ModelEngine {
    val fences = mutableListOf<Long>()

    override fun load(order: LoadOrder): EngineResult<Unit> {
        fences += order.fence
        return EngineResult.Done(Unit)
    }

    override fun step(items: List<EngineInput>) = EngineResult.Refused("not used")

    override fun release(stream: StreamKey) = EngineResult.Refused("not used")

    override fun load(): EngineResult<EngineLoad> = EngineResult.Refused("not used")
}
