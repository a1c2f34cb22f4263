package org.jacinthlink.runtime.http

import java.net.ProtocolException

/** What marks the end of the body of a response. */
internal sealed interface BodyEnd {
    /** The body has [bytes] bytes. */
    data class AfterLength(val bytes: Long) : BodyEnd

    /** The body ends with its last chunk and the trailer. */
    data object AfterLastChunk : BodyEnd

    /** The body ends with the connection. */
    data object WithConnection : BodyEnd
}

/** Status line and fields of a response. */
internal class ResponseHead private constructor(
    private val status: Int,
    private val fields: List<Pair<String, String>>
) {
    /** True if the final response to the same request follows. */
    val isInterim: Boolean get() = status < FIRST_FINAL_STATUS

    /** End of the body of this response to a request whose method is HEAD if [answersHead]. */
    fun bodyEnd(answersHead: Boolean): BodyEnd {
        val hasNoBody = isInterim || status in STATUSES_WITHOUT_BODY
        val length = contentLength()
        return when {
            answersHead -> EMPTY
            isChunked() -> BodyEnd.AfterLastChunk
            length != null -> BodyEnd.AfterLength(length)
            hasNoBody -> EMPTY
            else -> BodyEnd.WithConnection
        }
    }

    private fun isChunked(): Boolean {
        val codings = values("transfer-encoding").map { it.lowercase() }
        if (codings.any { it != "chunked" } || codings.size > 1) {
            throw ProtocolException("unknown transfer codings: $codings")
        }
        return codings.isNotEmpty()
    }

    private fun contentLength(): Long? {
        val lengths = values("content-length").distinct()
        if (lengths.isEmpty()) return null
        return lengths.singleOrNull()?.takeIf(LENGTH::matches)?.toLong()
            ?: throw ProtocolException("not a length: $lengths")
    }

    private fun values(name: String): List<String> =
        fields.filter { it.first.equals(name, ignoreCase = true) }.map { it.second.trim() }

    companion object {
        /**
         * Parses the [lines] of a head.
         *
         * Fails if they are not one head of a response: the beginning of a late response and the
         * next one together have two status lines.
         */
        fun parse(lines: List<String>): ResponseHead {
            val status = FINAL_OR_INTERIM.matchEntire(lines.first())?.groupValues?.get(1)
            status ?: throw ProtocolException("not a status line: ${lines.first()}")
            if (lines.sumOf(::statusLinesIn) > 1) {
                throw ProtocolException("two status lines in one head")
            }
            return ResponseHead(status.toInt(), parseFields(lines.drop(1)))
        }

        /** Fails unless [lines] are the fields of one trailer. */
        fun checkTrailer(lines: List<String>) {
            if (lines.any { statusLinesIn(it) > 0 }) {
                throw ProtocolException("a status line in a trailer")
            }
            parseFields(lines)
        }

        private fun parseFields(lines: List<String>): List<Pair<String, String>> {
            val fields = mutableListOf<Pair<String, String>>()
            for (line in lines) {
                val isFolded = fields.isNotEmpty() && line.first() in BLANKS
                if (!isFolded) fields += parseField(line)
            }
            return fields
        }

        private fun parseField(line: String): Pair<String, String> {
            val name = line.substringBefore(':', "")
            val token = name.trimEnd(' ', '\t')
            if (token.isEmpty() || !token.all { it in TOKEN_CHARACTERS }) {
                throw ProtocolException("not a field: $line")
            }
            return name to line.substring(name.length + 1)
        }

        private fun statusLinesIn(line: String): Int =
            if (VERSION in line) STATUS_LINE.findAll(line).count() else 0

        private val FINAL_OR_INTERIM =
            Regex("""HTTP/1\.\d (1(?!01)\d\d|[2-5]\d\d)(?: .*)?""", RegexOption.DOT_MATCHES_ALL)
        private const val VERSION = "HTTP/"

        /** A `Via` field may hold a version and an address, whose first number is no status. */
        private val STATUS_LINE = Regex("""HTTP/\d\.\d\s+\d\d\d(?=\s|$)""")
        private val TOKEN_CHARACTERS =
            (('0'..'9') + ('A'..'Z') + ('a'..'z') + "!#$%&'*+-.^_`|~".toList()).toSet()
        private val LENGTH = Regex("""\d{1,18}""")
        private val BLANKS = setOf(' ', '\t')
        private val STATUSES_WITHOUT_BODY = setOf(204, 304)
        private val EMPTY = BodyEnd.AfterLength(0)
        private const val FIRST_FINAL_STATUS = 200
    }
}
