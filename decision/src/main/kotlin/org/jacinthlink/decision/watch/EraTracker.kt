package org.jacinthlink.decision.watch

/** How the era of an answer of the store compares with the newest one that is known. */
enum class EraOfAnswer {
    /** The answer is of the known era, or does not name one. */
    CURRENT,

    /** The store has returned from a copy since the last answer. */
    NEW,

    /** The answer was given before the store returned from a copy. */
    FORMER
}

/**
 * Follows the era of the store.
 *
 * Load pattern: the store returns from a copy while calls are on their way, so that answers of the
 * former era arrive among those of the new one.
 */
class EraTracker {
    /** Newest era that is known, or null before the first answer that names one. */
    var current: Long? = null
        private set

    /**
     * Records the [era] of an answer, or null if it names none.
     *
     * @param sentInEra [current] when the call was sent. An answer with a lower era is late if the
     *   call is older than [current]; otherwise the store itself has gone back.
     */
    fun record(era: Long?, sentInEra: Long?): EraOfAnswer {
        val known = current
        return when {
            era == null || era == known -> EraOfAnswer.CURRENT
            known == null -> {
                current = era
                EraOfAnswer.CURRENT
            }
            era < known && sentInEra != known -> EraOfAnswer.FORMER
            else -> {
                current = era
                EraOfAnswer.NEW
            }
        }
    }
}
