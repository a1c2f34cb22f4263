package org.jacinthlink.runtime.events

/** Which events a time line is about. */
sealed interface EventFilter {
    /** True if [event] is one of those asked for. */
    fun matches(event: Event): Boolean

    /** All events. */
    data object All : EventFilter {
        override fun matches(event: Event) = true
    }

    /** Events of some requests. */
    data class OfRequests(val requestIds: Set<String>) : EventFilter {
        override fun matches(event: Event) = event.requestId in requestIds
    }

    /** Events that name the class of work [workClass]. */
    data class OfClass(val workClass: String) : EventFilter {
        override fun matches(event: Event) = event.fields["class"] == workClass
    }

    /**
     * Events of a fault. [subject] is the name of the event of the fault, or an instance that
     * failed: its id, or its name for all its incarnations.
     */
    data class OfFault(val subject: String) : EventFilter {
        override fun matches(event: Event) =
            event.name in FAULT_EVENTS && (event.name == subject || names(event))

        private fun names(event: Event) =
            isSubject(event.instance) ||
                event.fields.any { (key, value) ->
                    key in INSTANCE_FIELDS && value.split(',').any(::isSubject)
                }

        private fun isSubject(instance: String) =
            instance == subject || instance.substringBefore('~') == subject
    }
}

/** Fields of events that hold instance ids, separated by commas. */
val INSTANCE_FIELDS = setOf("head", "sidecar", "stage", "next", "route", "excluded")

/** Events that tell of a fault, of its repair, or of a start or stop. */
val FAULT_EVENTS =
    setOf(
        "close_failed",
        "configuration_not_written",
        "dispatch_failed",
        "drain_ended",
        "drain_failed",
        "drain_started",
        "engine_load_failed",
        "engine_lost",
        "engine_ready",
        "handler_failed",
        "instance_excluded",
        "instance_list_back",
        "instance_list_down",
        "instance_list_empty",
        "instance_list_from_peer",
        "key_value_back",
        "key_value_down",
        "listener_failed",
        "quarantine_not_written",
        "quarantined",
        "service_lost",
        "service_ready",
        "stage_fault",
        "stage_silent",
        "started",
        "step_refused",
        "stopped",
        "stream_failed_over",
        "stream_rerouted",
        "stream_resumed",
        "task_failed",
        "tokens_not_sent"
    )
