package org.bramleytrestle.serving

import kotlin.time.Duration

/**
 * One attempt of a request.
 *
 * @property chain servers that the request passes through; null if [server] serves it alone.
 * @property urgency rank among requests that wait at a model server, 0 first.
 * @property remaining time left for the answer.
 * @property lastEvent event after which a resumed stream goes on.
 */
public class ServerCall(
    public val request: CallerRequest,
    public val server: BackendServer,
    public val stream: Boolean,
    public val remaining: Duration,
    public val chain: Chain? = null,
    public val organisation: String? = null,
    public val urgency: Int? = null,
    public val lastEvent: Long? = null,
    public val load: ServerLoad? = null
)
