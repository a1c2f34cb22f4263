package org.jacinthlink.sidecar.stage

/** Outputs of one stream by position. The oldest ones can be dropped. */
internal class OutputLog {
    private val payloads = ArrayDeque<String>()

    /** First position that is still retained. */
    var firstPosition = 0
        private set

    var sizeBytes = 0L
        private set

    val endPosition: Int get() = firstPosition + payloads.size

    fun append(outputs: List<String>) {
        payloads += outputs
        sizeBytes += outputs.sumOf { it.length.toLong() }
    }

    /** Payloads from [start], as many as fit into [maxBytes] and end before [end], at least one. */
    fun read(start: Int, end: Int, maxBytes: Int): List<String> {
        val selected = ArrayList<String>()
        var bytes = 0
        for (position in start until minOf(end, endPosition)) {
            val payload = payloads[position - firstPosition]
            bytes += payload.length
            if (bytes > maxBytes && selected.isNotEmpty()) break
            selected += payload
        }
        return selected
    }

    fun dropBefore(position: Int) {
        while (firstPosition < position && payloads.isNotEmpty()) {
            sizeBytes -= payloads.removeFirst().length
            firstPosition++
        }
    }
}
