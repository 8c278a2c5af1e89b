package org.bramleytrestle.backend

import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import okhttp3.Call
import okhttp3.EventListener

/** Records whether bytes of a call may have been written, that is, whether it may have been run. */
public class SendRecord : EventListener() {
    private val starts = AtomicInteger()

    /** Number of times that writing the request was started on a connection. */
    public val sends: Int get() = starts.get()

    override fun requestHeadersStart(call: Call) {
        starts.incrementAndGet()
    }

    /** Classifies the exception [cause] of this call. */
    public fun failureOf(cause: IOException): HopFailure = when {
        sends == 0 -> HopFailure.UNREACHABLE
        cause.isTimeout() -> HopFailure.SILENT
        else -> HopFailure.BROKEN
    }
}
