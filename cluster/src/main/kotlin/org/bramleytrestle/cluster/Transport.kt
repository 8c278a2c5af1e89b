package org.bramleytrestle.cluster

/** Carries frames between peers; may lose or delay them, and reorder them across connections. */
internal interface Transport {
    /**
     * Starts listening and calls [receive] with the peer's address for every received frame. While
     * it is suspended, nothing more is read from the peer.
     */
    suspend fun start(receive: suspend (from: String, frame: ByteArray) -> Unit)

    /** Queues [frame] for the peer at [to] without blocking. */
    fun send(to: String, frame: ByteArray, delivery: Delivery)

    /** Makes the next frame to [to] open a new connection if the current one is unresponsive. */
    fun replaceIfUnresponsive(to: String)

    suspend fun stop()
}
