package org.bramleytrestle.serving

/** Result of sending a request to a server. */
public sealed interface ServerReply {
    /**
     * The request did not run and will not run.
     *
     * @property reached whether a server received the request.
     * @property misdirected whether the server at the address was not the expected one.
     * @property faultyAddress server of the chain that caused the refusal, if the first server
     * reported it.
     */
    public data class NotRun(
        val reason: String,
        val reached: Boolean,
        val misdirected: Boolean = false,
        val faultyAddress: String? = null
    ) : ServerReply

    /** The exchange failed without a usable answer; the request may have run. */
    public data class Failed(val reason: String) : ServerReply

    /** A complete response. */
    public class Complete(
        public val status: Int,
        public val headers: List<Header>,
        public val body: ByteArray
    ) : ServerReply {
        public val isServerError: Boolean get() = status >= MIN_SERVER_ERROR

        private companion object {
            const val MIN_SERVER_ERROR = 500
        }
    }

    /**
     * A stream whose head has arrived.
     *
     * @property next waits for the next event; returns null at the end of a complete stream and
     * throws [java.io.IOException] if the stream is interrupted.
     */
    public class Stream(
        public val status: Int,
        public val headers: List<Header>,
        public val next: () -> StreamEvent?
    ) : ServerReply
}
