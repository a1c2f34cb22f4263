package org.jacinthlink.standins

import kotlinx.serialization.Serializable

/**
 * Faults of the key-value stand-in.
 *
 * @property delayMs Delay of each answer. The call itself takes effect on arrival.
 * @property loseAnswers Number of coming writes that take effect and get no answer.
 * @property applyLate Number of coming writes that get no answer and take effect after
 *   [applyLateMs], if their comparison holds then.
 */
@Serializable
data class KeyValueFaults(
    val outage: Outage = Outage.NONE,
    val delayMs: Long = 0,
    val loseAnswers: Int = 0,
    val applyLate: Int = 0,
    val applyLateMs: Long = 0
)
