package org.bramleytrestle.backend

/** Headers that concern one connection only and are not forwarded (RFC 9110, section 7.6.1). */
public object HopByHop {
    private val always = setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length"
    )

    /** Lower-case names of the headers to drop, including those that `Connection` lists. */
    public fun names(headers: Map<String, String>): Set<String> = always + headers
        .filterKeys { it.equals("Connection", ignoreCase = true) }
        .values
        .flatMap { it.split(',') }
        .map { it.trim().lowercase() }
}
