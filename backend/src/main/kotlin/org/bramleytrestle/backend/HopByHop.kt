package org.bramleytrestle.backend

/** Headers that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1). */
public object HopByHop {
    private val standardNames = setOf(
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

    /** Lower-case names of the headers to remove, including those listed in `Connection`. */
    public fun names(headers: Map<String, String>): Set<String> = standardNames + headers
        .filterKeys { it.equals("Connection", ignoreCase = true) }
        .values
        .flatMap { it.split(',') }
        .map { it.trim().lowercase() }
}
