package org.bramleytrestle.standins

import java.net.ConnectException
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

class HttpStandinTest {
    private fun accepts(port: Int) = try {
        Socket(InetAddress.getLoopbackAddress(), port).close()
        true
    } catch (_: ConnectException) {
        false
    }

    // Guards against a killed server that a caller takes for a silent or broken one.
    @Test
    fun `a killed stand-in still accepts a connection`() {
        val busy = AtomicBoolean(true)
        val load = List(2 * Runtime.getRuntime().availableProcessors()) {
            thread(isDaemon = true) { while (busy.get()) Thread.onSpinWait() }
        }
        try {
            val accepted = (1..ROUNDS).count {
                val standin = HttpStandin("standin", 0) { _, _ -> }
                standin.kill()
                accepts(standin.port)
            }
            assertEquals(0, accepted, "of $ROUNDS")
        } finally {
            busy.set(false)
            load.forEach(Thread::join)
        }
    }

    private companion object {
        const val ROUNDS = 300
    }
}
