package org.bramleytrestle.routing

/** Class of work by expected length; [priority] is the engine priority at the start. */
internal enum class WorkClass(val priority: Int) {
    SHORT(0),
    LONG(10)
}
