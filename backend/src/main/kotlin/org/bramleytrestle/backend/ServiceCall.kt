package org.bramleytrestle.backend

import kotlin.time.Duration
import org.bramleytrestle.model.RequestId

/**
 * One attempt at a call of a plain service.
 *
 * @property path path and query below the server's address, starting with `/`.
 * @property mayRepeat whether the client may send it again on a fresh connection by itself.
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
