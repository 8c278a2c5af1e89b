package org.bramleytrestle.serving

import kotlin.time.Duration

/**
 * One attempt to send a request to a server.
 *
 * @property chain servers that the request passes through; null if [server] serves it alone.
 * @property urgency rank in the queue of a model server, 0 first.
 * @property remaining time left until the deadline.
 * @property resent whether the server has had this request before.
 * @property lastEvent number of the event after which a resumed stream continues.
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
    public val load: ServerLoad? = null,
    public val resent: Boolean = false
)
