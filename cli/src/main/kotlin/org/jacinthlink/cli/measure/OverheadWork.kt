package org.jacinthlink.cli.measure

import org.jacinthlink.cli.load.LoadStream
import org.jacinthlink.cli.site.SitePlan

/** The three kinds of requests that are compared. */
internal data class OverheadWork(
    val chat: LoadStream,
    val plainGet: LoadStream,
    val keyedPost: LoadStream
)

/** Work for the first pipeline and the first service of [site], in its most urgent class. */
internal fun overheadWork(site: SitePlan, plan: OverheadPlan): OverheadWork {
    val service = site.services.first().service
    val pipeline = site.pipelines.first()
    val base =
        LoadStream(
            name = "chat",
            workspace = "shop-1",
            workClass = site.classes.minBy { it.targetMs }.name,
            ratePerSecond = 1.0,
            stopSecond = 1.0
        )
    return OverheadWork(
        base.copy(
            model = pipeline.model,
            promptTokens = plan.promptTokens,
            maxTokens = plan.maxTokens,
            verifyLayerCount = pipeline.stages.maxOf { it.endLayer }
        ),
        base.copy(name = "get", service = service, method = "GET", path = "deliveries/17"),
        base.copy(name = "post", service = service, path = "bookings")
    )
}
