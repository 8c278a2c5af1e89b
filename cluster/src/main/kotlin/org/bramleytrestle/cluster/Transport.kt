package org.bramleytrestle.cluster

/** Carries frames between peers; may lose, delay or reorder them across connections. */
internal interface Transport {
    /** Starts to listen; [receive] is called with the peer's address for every frame. */
    suspend fun start(receive: (from: String, frame: ByteArray) -> Unit)

    /** Queues [frame] for the peer at [to] and returns at once. */
    fun send(to: String, frame: ByteArray, delivery: Delivery)

    /** Lets the next frame to [to] use a new connection if the present one is silent. */
    fun replaceIfSilent(to: String)

    suspend fun stop()
}
