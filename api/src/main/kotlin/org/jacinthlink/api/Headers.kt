package org.jacinthlink.api

/** Names of the HTTP headers that the processes of the system and its clients exchange. */
object Headers {
    const val WORKSPACE = "x-jacinthlink-workspace"
    const val WORK_CLASS = "x-jacinthlink-class"
    const val REQUEST_ID = "x-jacinthlink-request-id"
    const val REVISION = "x-jacinthlink-revision"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val REPLAYED = "x-jacinthlink-replayed"

    /** Hybrid logical clock of the sender. */
    const val CLOCK = "x-jacinthlink-clock"

    /** Secret shared by the processes of one system. */
    const val PEER_TOKEN = "x-jacinthlink-peer-token"

    /** Id of a call to a process of the system, which the response repeats. */
    const val CALL_ID = "x-jacinthlink-call-id"

    /** Host and port of the sending process. */
    const val SENDER = "x-jacinthlink-sender"

    /** Instance id of the responding process if it is draining. */
    const val DRAINING = "x-jacinthlink-draining"
}
