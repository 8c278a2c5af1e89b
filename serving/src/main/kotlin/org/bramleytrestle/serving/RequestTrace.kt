package org.bramleytrestle.serving

import kotlin.time.Duration

/**
 * Collects the routing and the attempts of one request for the log line written when it ends.
 *
 * @property configAge time since the store confirmed that [configVersion] is the newest.
 */
public class RequestTrace(
    public val id: String,
    public val configVersion: Long?,
    public val configAge: Duration?,
    public val prompt: Prompt? = null
) {
    private val attempts = StringBuilder()

    public var route: String? = null
    public var organisation: String? = null

    public val attemptLog: String @Synchronized get() = attempts.toString()

    @Synchronized
    public fun attempt(target: String, load: String) {
        if (attempts.isNotEmpty()) attempts.append(" | ")
        attempts.append(target).append(" load=").append(load)
    }

    @Synchronized
    public fun result(text: String) {
        attempts.append(" -> ").append(text)
    }

    /** Records a second attempt that was made while another one was still open. */
    @Synchronized
    public fun hedge(target: String, result: String) {
        attempts.append(" [hedge ").append(target).append(" -> ").append(result).append(']')
    }
}
