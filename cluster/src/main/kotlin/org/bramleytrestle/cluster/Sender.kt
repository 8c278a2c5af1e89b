package org.bramleytrestle.cluster

/** Sends messages to peers and supplies the [Exchange] header of each. */
internal interface Sender {
    /** Sends a message that carries member updates. */
    fun send(to: String, build: (Exchange) -> Message)

    /** Sends a message without member updates and returns its encoded size in bytes. */
    fun sendBody(to: String, delivery: Delivery, build: (Exchange) -> Message): Int
}
