package org.jacinthlink.standins

import kotlinx.serialization.Serializable

/**
 * Faults of the plain-service stand-in.
 *
 * @property latencyMs Time between execution and answer.
 * @property crashBefore Number of coming `POST` calls that crash the service before execution.
 * @property crashAfter Number of coming `POST` calls that crash it between execution and answer.
 * @property loseAnswers Number of coming `POST` calls that are executed and get no answer.
 * @property crashDownMs Time without service after a crash; null to exit the process.
 */
@Serializable
data class PlainServiceFaults(
    val latencyMs: Long = 0,
    val crashBefore: Int = 0,
    val crashAfter: Int = 0,
    val loseAnswers: Int = 0,
    val crashDownMs: Long? = DEFAULT_CRASH_DOWN_MS
)

private const val DEFAULT_CRASH_DOWN_MS = 500L
