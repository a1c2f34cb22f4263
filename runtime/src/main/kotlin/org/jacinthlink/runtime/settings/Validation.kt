package org.jacinthlink.runtime.settings

/** Collects the faults of a settings document, so that all are reported together. */
class Validation internal constructor() {
    private val found = mutableListOf<String>()

    /** Faults found so far, in the order of the checks. */
    val faults: List<String> get() = found.toList()

    /** Reports [path] unless [value] lies in [range]. */
    fun inRange(path: String, value: Long, range: LongRange) =
        check(path, value in range) { "$value is not in ${range.first}..${range.last}" }

    /** Reports [path] unless [value] lies in [range]. */
    fun inRange(path: String, value: Int, range: IntRange) =
        inRange(path, value.toLong(), range.first.toLong()..range.last.toLong())

    /** Reports [path] unless [value] lies in [range]. */
    fun inRange(path: String, value: Double, range: ClosedFloatingPointRange<Double>) =
        check(path, value in range) { "$value is not in ${range.start}..${range.endInclusive}" }

    /** Reports [path] if [value] is blank. */
    fun notBlank(path: String, value: String) =
        check(path, value.isNotBlank()) { "must not be blank" }

    /** Reports [path] unless [value] is a host and port, as `127.0.0.1:7101`. */
    fun address(path: String, value: String) {
        val port = value.substringAfterLast(':', "").toIntOrNull()
        val valid = value.substringBeforeLast(':').isNotBlank() && port in PORTS
        check(path, valid) { "'$value' is not a host and port, as 127.0.0.1:7101" }
    }

    /** Reports [path] unless [value] is an HTTP URL. */
    fun url(path: String, value: String) =
        check(path, value.startsWith("http://") || value.startsWith("https://")) {
            "'$value' is not an HTTP URL"
        }

    /** Reports [path] with [message] unless [valid]. */
    fun check(path: String, valid: Boolean, message: () -> String) {
        if (!valid) found += "$path: ${message()}"
    }

    private companion object {
        val PORTS = 1..65_535
    }
}
