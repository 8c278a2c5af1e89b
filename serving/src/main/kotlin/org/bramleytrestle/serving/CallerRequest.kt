package org.bramleytrestle.serving

import kotlin.time.Duration

/**
 * A request as received from a caller.
 *
 * @property target path and query, byte for byte.
 * @property headers headers that are forwarded to the server.
 * @property timeout time that the caller waits for the response, counted from [receivedAt].
 * @property lastEvent number of the last stream event that the caller has already received.
 * @property prompt parts of the prompt, if the caller names them.
 * @property tokens size of the prompt and of the longest answer, if the caller states it.
 * @property disconnected whether the caller is known to have closed its connection.
 */
@Suppress("LongParameterList")
public class CallerRequest(
    public val id: String,
    public val method: String,
    public val host: String,
    public val target: String,
    public val headers: List<Header>,
    public val body: ByteArray,
    public val receivedAt: Moment,
    public val timeout: Duration? = null,
    public val key: String? = null,
    public val lastEvent: Long? = null,
    public val prompt: Prompt? = null,
    public val tokens: Int? = null,
    public val disconnected: () -> Boolean = { false }
) {
    public val path: String get() = target.substringBefore('?')

    /** Identifies the request among others and its repeats. */
    public val content: RequestContent by lazy(LazyThreadSafetyMode.PUBLICATION) {
        RequestContent.of(this)
    }
}
