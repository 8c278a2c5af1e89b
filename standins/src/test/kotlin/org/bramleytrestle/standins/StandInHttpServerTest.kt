package org.bramleytrestle.standins

import java.net.ConnectException
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

class StandInHttpServerTest {
    private fun accepts(port: Int) = try {
        Socket(InetAddress.getLoopbackAddress(), port).close()
        true
    } catch (_: ConnectException) {
        false
    }

    // Guards against a killed server that still accepts connections, so that callers see a silent
    // or broken server instead of an unreachable one. Busy threads delay Jetty's acceptor.
    @Test
    fun `a killed server refuses connections`() {
        val busy = AtomicBoolean(true)
        val load = List(2 * Runtime.getRuntime().availableProcessors()) {
            thread(isDaemon = true) { while (busy.get()) Thread.onSpinWait() }
        }
        try {
            val accepted = (1..ROUNDS).count {
                val server = StandInHttpServer("standin", 0) { _, _ -> }
                server.kill()
                accepts(server.port)
            }
            assertEquals(0, accepted, "killed servers that accepted, of $ROUNDS")
        } finally {
            busy.set(false)
            load.forEach(Thread::join)
        }
    }

    private companion object {
        const val ROUNDS = 300
    }
}
