package org.jacinthlink.standins

import kotlinx.serialization.Serializable

/** How a stand-in fails all calls except those under `/control`. */
@Serializable
enum class Outage {
    /** Calls are served. */
    NONE,

    /** Calls get status 503. */
    UNAVAILABLE,

    /** Calls get no answer; the connection stays open. */
    SILENT
}
