package org.bramleytrestle.backend

import kotlin.time.Duration
import org.bramleytrestle.model.RequestId

/**
 * One attempt of a call to a plain service.
 *
 * @property path path and query relative to the server's address, starting with `/`.
 * @property mayRepeat whether the client itself may send the call again on a new connection.
 */
public class ServiceCall(
    public val request: RequestId,
    public val attempt: Int,
    public val address: String,
    public val method: String,
    public val path: String,
    public val headers: Map<String, String> = emptyMap(),
    public val body: ByteArray? = null,
    public val timeout: Duration,
    public val mayRepeat: Boolean = false
)
