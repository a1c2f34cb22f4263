package org.jacinthlink.decision.routing

import org.jacinthlink.api.ResultCode

/** Decision of [Admission]. */
sealed interface AdmissionDecision {
    /** The request may wait in the queue. */
    data object Admitted : AdmissionDecision

    /** The request must be refused at once; nothing ran. */
    data class Refused(val code: ResultCode, val message: String, val retryAfterMs: Long) :
        AdmissionDecision
}
