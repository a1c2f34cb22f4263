package org.jacinthlink.decision.fleet

/** Finds the route of a request: the one of its host with the longest matching path prefix. */
class RouteTable private constructor(private val routesByHost: Map<String, List<RouteRule>>) {
    /** Returns the route for [path] on [host], or null if there is none. */
    fun find(host: String, path: String): RouteRule? =
        routesByHost[host.substringBefore(':').lowercase()]
            ?.firstOrNull { path.startsWith(it.pathPrefix) }

    companion object {
        internal fun of(routes: List<RouteRule>) =
            RouteTable(
                routes
                    .groupBy { it.host.lowercase() }
                    .mapValues { (_, rules) -> rules.sortedByDescending { it.pathPrefix.length } }
            )
    }
}

/** Creates a table of [routes]. */
fun routeTable(routes: List<RouteRule>): RouteTable = RouteTable.of(routes)
