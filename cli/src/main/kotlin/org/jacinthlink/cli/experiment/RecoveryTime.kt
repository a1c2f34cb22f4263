package org.jacinthlink.cli.experiment

import org.jacinthlink.cli.load.FinishedRequest

/**
 * Time from the fault until [requests] are at target again: all of those that are sent in the
 * following two seconds meet it. Null if there is no such time in the run.
 */
internal fun recoveryUs(
    requests: List<FinishedRequest>,
    faultAtUs: Long,
    isMet: (FinishedRequest) -> Boolean
): Long? {
    val after = requests.filter { it.request.sendAtUs >= faultAtUs }
    val missesUs = after.filterNot(isMet).map { it.request.sendAtUs }.sorted()
    val lastSendUs = after.maxOfOrNull { it.request.sendAtUs } ?: return null
    return (listOf(faultAtUs - 1) + missesUs)
        .firstOrNull { start ->
            start + AT_TARGET_US <= lastSendUs &&
                missesUs.none { it > start && it <= start + AT_TARGET_US }
        }?.let { maxOf(0, it - faultAtUs) }
}

private const val AT_TARGET_US = 2_000_000L
