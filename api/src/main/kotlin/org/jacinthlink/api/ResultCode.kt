package org.jacinthlink.api

/**
 * Numbered outcome of a request, as sent to callers and operators.
 *
 * Numbers are stable. 1xxx are errors of the request, 2xxx refusals before any execution, 3xxx
 * outcomes after a possible execution, 4xxx errors of operator requests and 5xxx start-up errors.
 *
 * @property httpStatus HTTP status that carries this code.
 * @property notRun True if the code guarantees that nothing ran and nothing can still run.
 */
enum class ResultCode(val number: Int, val httpStatus: Int, val notRun: Boolean) {
    MALFORMED_REQUEST(1001, 400, true),
    BODY_TOO_LARGE(1002, 413, true),
    UNKNOWN_CLASS(1003, 400, true),
    UNKNOWN_WORKSPACE(1004, 400, true),
    UNKNOWN_MODEL(1005, 404, true),
    UNKNOWN_SERVICE(1006, 404, true),
    IDEMPOTENCY_KEY_MISSING(1007, 400, true),
    IDEMPOTENCY_KEY_REUSED(1008, 422, true),
    UNAUTHORIZED(1009, 401, true),
    NOT_FOUND(1010, 404, true),
    METHOD_NOT_ALLOWED(1011, 405, true),

    OVERLOADED(2001, 429, true),
    DEADLINE_UNREACHABLE(2002, 503, true),
    NO_BACKEND_SERVER(2003, 503, true),
    DRAINING(2004, 503, true),
    CLAIM_UNAVAILABLE(2005, 503, true),
    QUARANTINED(2006, 422, true),
    CANCELLED_BEFORE_RUN(2007, 409, true),

    OUTCOME_UNKNOWN(3001, 504, false),
    STREAM_FAILED(3002, 502, false),
    IN_PROGRESS(3003, 409, false),
    DEADLINE_EXCEEDED(3004, 504, false),
    INTERNAL_ERROR(3005, 500, false),

    CONFIGURATION_CONFLICT(4001, 409, true),
    CONFIGURATION_INVALID(4002, 422, true),
    CONFIGURATION_UNAVAILABLE(4003, 503, true),
    CONFIGURATION_UNKNOWN(4004, 504, false),

    SETTINGS_INVALID(5001, 500, true),
    ADDRESS_IN_USE(5002, 500, true)
}
