package org.bramleytrestle.backend

/** Outcome of one attempt of a service call. */
public sealed interface ServiceOutcome {
    public class Answer(
        public val status: Int,
        public val headers: Map<String, String>,
        public val body: ByteArray
    ) : ServiceOutcome

    /** The call was certainly not run: no bytes were written, or the server said so. */
    public data class NotRun(val failure: HopFailure) : ServiceOutcome

    /** The call may have been run. */
    public data class Unknown(val failure: HopFailure) : ServiceOutcome
}
