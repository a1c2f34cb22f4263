package org.jacinthlink.decision.routing

import org.jacinthlink.api.ResultCode

/** Decision of [Admission]. */
sealed interface AdmissionDecision {
    /** The request may enter the queue. */
    data object Admitted : AdmissionDecision

    /** The request must be refused at once. No part of it has run. */
    data class Refused(val code: ResultCode, val message: String, val retryAfterMs: Long) :
        AdmissionDecision
}
