package org.bramleytrestle.node.config

import kotlinx.serialization.Serializable

/** Address that a listener binds to. Port 0 selects a free port. */
@Serializable
internal data class ListenAddress(val host: String = "127.0.0.1", val port: Int) {
    init {
        require(port in 0..MAX_PORT) { "port $port: expected 0 to $MAX_PORT" }
    }

    private companion object {
        const val MAX_PORT = 65_535
    }
}
