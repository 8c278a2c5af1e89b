package org.bramleytrestle.http

/**
 * The rule for the head of an answer (RFC 9112, narrowed to what sound peers send). Whatever is not
 * named here is a failure.
 *
 * - Status line: `HTTP/1.1` or `HTTP/1.0`, a space, a status from 100 to 599 other than 101, and a
 *   reason, which a space precedes.
 * - Fields: a token, a colon at once behind it, and a value without control characters.
 * - Body: one length in digits, or the one transfer coding `chunked` in HTTP/1.1, or neither.
 *
 * A status line within a reason or a value shows that the head is made of two.
 *
 * @property status 1xx announces a further head.
 */
internal class AnswerHead private constructor(val status: Int, val bodyEnd: BodyEnd) {
    val isInterim: Boolean get() = status < MIN_FINAL_STATUS

    companion object {
        private val TEXT = "[\\t\\x20-\\x7e\\x80-\\uffff]*"
        private val STATUS_LINE = Regex("HTTP/1\\.([01]) ([1-5][0-9]{2})( ($TEXT))?")
        private val FIELD = Regex("([!#$%&'*+.^_`|~0-9A-Za-z-]+):($TEXT)")
        private val LENGTH = Regex("[0-9]{1,18}")
        private val SECOND_HEAD = Regex("HTTP/[0-9]\\.[0-9] [0-9]{3}")
        private val BLANKS = charArrayOf(' ', '\t')
        private const val LENGTH_FIELD = "content-length"
        private const val CODING_FIELD = "transfer-encoding"
        private const val CHUNKED = "chunked"
        private const val MIN_FINAL_STATUS = 200
        private const val SWITCHING_PROTOCOLS = 101
        private const val NO_CONTENT = 204
        private const val NOT_MODIFIED = 304
        private const val MAX_QUOTED = 80

        /**
         * Reads the [lines] of a head, without their ends, of an answer to a request with [method].
         *
         * @throws UnsoundAnswerException if it is not the head of one sound answer.
         */
        fun read(lines: List<String>, method: String): AnswerHead {
            val (minor, code, _, reason) = STATUS_LINE.matchEntire(lines.first())?.destructured
                ?: unsound("status line", lines.first())
            if (SECOND_HEAD in reason) unsound("reason", reason)
            val status = code.toInt()
            if (status == SWITCHING_PROTOCOLS) unsound("status", code)
            val fields = lines.drop(1).map(::readField)
            val end = bodyEnd(fields, hasChunks = minor == "1")
            val hasNoBody = method == "HEAD" || status == NOT_MODIFIED ||
                status == NO_CONTENT || status < MIN_FINAL_STATUS
            if (!hasNoBody) return AnswerHead(status, end)
            if (status == NO_CONTENT && end != BodyEnd.Close && end != BodyEnd.Length(0)) {
                unsound("body of status $status", "$end")
            }
            return AnswerHead(status, BodyEnd.Length(0))
        }

        /** Returns the lower-case name and the value of the field in [line], or throws. */
        fun readField(line: String): Pair<String, String> {
            val (name, value) = FIELD.matchEntire(line)?.destructured ?: unsound("field", line)
            if (SECOND_HEAD in value) unsound("field", line)
            return name.lowercase() to value.trim(*BLANKS)
        }

        private fun bodyEnd(fields: List<Pair<String, String>>, hasChunks: Boolean): BodyEnd {
            val lengths = fields.filter { it.first == LENGTH_FIELD }.map { it.second }
            val codings = fields.filter { it.first == CODING_FIELD }.map { it.second }
            if (lengths.size + codings.size > 1) unsound("body length", "${lengths + codings}")
            val length = lengths.firstOrNull()
            val coding = codings.firstOrNull()
            return when {
                length != null && LENGTH.matches(length) -> BodyEnd.Length(length.toLong())
                length != null -> unsound("body length", length)
                coding == null -> BodyEnd.Close
                hasChunks && coding.equals(CHUNKED, ignoreCase = true) -> BodyEnd.LastChunk
                else -> unsound("transfer coding", coding)
            }
        }

        private operator fun Regex.contains(text: String) = containsMatchIn(text)

        private fun unsound(what: String, text: String): Nothing =
            throw UnsoundAnswerException("unsound $what \"${text.take(MAX_QUOTED)}\"")
    }
}
