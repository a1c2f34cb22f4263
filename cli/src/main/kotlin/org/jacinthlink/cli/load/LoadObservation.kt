package org.jacinthlink.cli.load

/** What a load run saw of each request, and the largest time by which a send was late. */
internal data class LoadObservation(val finished: List<FinishedRequest>, val maxSendDelayUs: Long)
