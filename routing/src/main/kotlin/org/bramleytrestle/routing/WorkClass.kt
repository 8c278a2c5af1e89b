package org.bramleytrestle.routing

/** Class of work by expected length. [priority] is the initial engine priority. */
internal enum class WorkClass(val priority: Int) {
    SHORT(0),
    LONG(10)
}
