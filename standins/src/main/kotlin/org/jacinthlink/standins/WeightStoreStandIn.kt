package org.jacinthlink.standins

import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import org.jacinthlink.api.ModelManifest
import org.jacinthlink.runtime.RunningProcess

/** Starts a stand-in of the rate-limited store of model weights. */
fun startWeightStoreStandIn(settings: WeightStoreSettings): RunningProcess {
    val models = settings.models.associateBy { it.model }
    val rate = RateWindow(settings.callsPerSecond)

    fun manifest(request: Request): Response {
        if (!rate.admit(System.currentTimeMillis())) {
            val seconds = settings.retryAfterSeconds.toString()
            return Response(Status.TOO_MANY_REQUESTS).header("Retry-After", seconds)
        }
        val found = models[request.path("model")] ?: return Response(Status.NOT_FOUND)
        return okJson(ModelManifest.serializer(), found)
    }

    return StandInServer(
        settings.host,
        settings.port,
        WORKERS,
        handler = routes("/v1/models/{model}" bind Method.GET to ::manifest)
    )
}

private const val WORKERS = 8
