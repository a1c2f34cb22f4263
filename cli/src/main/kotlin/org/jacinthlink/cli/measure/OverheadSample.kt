package org.jacinthlink.cli.measure

/**
 * Times of one request of each kind on one way.
 *
 * @property tokenTimesUs Time of each token since the request was sent.
 */
internal data class OverheadSample(
    val tokenTimesUs: List<Long>,
    val plainGetUs: Long,
    val keyedPostUs: Long
) {
    val firstTokenUs: Long get() = tokenTimesUs.first()
    val tokenGapsUs: List<Long> get() = tokenTimesUs.zipWithNext { a, b -> b - a }
}
