package org.jacinthlink.cli.measure

/** Sends one request at a time. Throws [IllegalStateException] if one has no right answer. */
internal interface OverheadCaller {
    /** Times of the tokens of chat [number] in microseconds since it was sent. */
    fun chat(number: Int): List<Long>

    /** Sends plain call [number] without an idempotency key and waits for its answer. */
    fun plainGet(number: Int)

    /** Sends plain call [number] that creates a record and waits for its answer. */
    fun keyedPost(number: Int)
}

/** Sends one request of each kind. */
internal fun OverheadCaller.sample(number: Int) =
    OverheadSample(
        chat(number),
        plainGetUs = elapsedUs { plainGet(number) },
        keyedPostUs = elapsedUs { keyedPost(number) }
    )

private fun elapsedUs(work: () -> Unit): Long {
    val startNs = System.nanoTime()
    work()
    return (System.nanoTime() - startNs) / NANOS_PER_MICRO
}

private const val NANOS_PER_MICRO = 1_000L
