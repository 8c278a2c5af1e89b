package org.bramleytrestle.backend

/** How one attempt at a service call ended. */
public sealed interface ServiceOutcome {
    public class Answer(
        public val status: Int,
        public val headers: Map<String, String>,
        public val body: ByteArray
    ) : ServiceOutcome

    /** The call certainly did not run: no bytes were written, or the server refused it so. */
    public data class NotRun(val failure: HopFailure) : ServiceOutcome

    /** The call may have run. */
    public data class Unknown(val failure: HopFailure) : ServiceOutcome
}
