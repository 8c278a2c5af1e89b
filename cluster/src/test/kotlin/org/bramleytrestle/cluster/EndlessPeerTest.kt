package org.bramleytrestle.cluster

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.InstanceId

class EndlessPeerTest {
    private class FloodedTransport : Transport {
        lateinit var receive: suspend (String, ByteArray) -> Unit

        override suspend fun start(receive: suspend (from: String, frame: ByteArray) -> Unit) {
            this.receive = receive
        }

        override fun send(to: String, frame: ByteArray, delivery: Delivery) = Unit

        override fun replaceIfUnresponsive(to: String) = Unit

        override suspend fun stop() = Unit
    }

    /** Guards against a peer whose frames fill the memory faster than they are processed. */
    @Test
    fun `a peer that sends without end waits while its frames are unprocessed`() = runTest {
        val processing = TestCoroutineScheduler()
        val scope = CoroutineScope(StandardTestDispatcher(processing))
        val transport = FloodedTransport()
        val address = "127.0.0.1:7000"
        val node = ClusterNode(
            ClusterSettings(
                InstanceId("a"),
                DataCentre("dc"),
                address,
                callerAddress = "",
                secret = ByteArray(4)
            ),
            RecordingListener(),
            transport,
            scope,
            testTimeSource,
            startSeconds = 1,
            random = Random(1),
            reportBytesPerSecond = 1_000,
            wantsReport = { _, _ -> true }
        )
        node.start()
        var accepted = 0
        val flood = launch {
            repeat(FRAMES) {
                transport.receive("127.0.0.1:7001", ByteArray(8))
                accepted++
            }
        }
        delay(10.seconds)
        val unprocessed = accepted
        assertTrue(unprocessed in 1..MAX_UNPROCESSED, "$unprocessed frames")
        processing.runCurrent()
        delay(1.seconds)
        assertTrue(accepted > unprocessed, "$accepted frames once some were processed")
        repeat(FRAMES) {
            processing.runCurrent()
            delay(1.seconds)
        }
        assertEquals(FRAMES, accepted, "frames that cannot be read give their room back too")
        flood.join()
        scope.cancel()
    }

    private companion object {
        const val FRAMES = 200

        /** A frame has up to 1 MB. */
        const val MAX_UNPROCESSED = 64
    }
}
