package org.bramleytrestle.cluster

/** Sends messages; the [Exchange] part is filled in at the time of sending. */
internal interface Sender {
    /** A message that carries member updates. */
    fun send(to: String, build: (Exchange) -> Message)

    /** A message that carries no member updates. Returns its size in bytes. */
    fun sendBody(to: String, delivery: Delivery, build: (Exchange) -> Message): Int
}
