package org.bramleytrestle.serving

/** What came of sending a request to a server. */
public sealed interface ServerReply {
    /**
     * The request did not run and will not.
     *
     * @property faultyAddress server of the chain that caused it, if the first one named it.
     * @property reached whether a server received the request.
     */
    public data class NotRun(
        val reason: String,
        val reached: Boolean,
        val misdirected: Boolean = false,
        val faultyAddress: String? = null
    ) : ServerReply

    /** No usable answer; the request may have run. */
    public data class Failed(val reason: String) : ServerReply

    /** A complete answer. */
    public class Complete(
        public val status: Int,
        public val headers: List<Header>,
        public val body: ByteArray
    ) : ServerReply {
        public val failed: Boolean get() = status >= FIRST_SERVER_ERROR

        private companion object {
            const val FIRST_SERVER_ERROR = 500
        }
    }

    /**
     * A stream that has begun.
     *
     * @property next waits for the next event; null at the end of a complete stream; throws
     * [java.io.IOException] if the stream breaks off.
     */
    public class Stream(
        public val status: Int,
        public val headers: List<Header>,
        public val next: () -> StreamEvent?
    ) : ServerReply
}
