package org.bramleytrestle.node.http

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest

class ConsumeWithIdleTest {
    @Test
    fun `an element that arrives at the same time as the idle timeout is not lost`() = runTest {
        val channel = Channel<Int>(Channel.UNLIMITED)
        launch {
            repeat(50) {
                delay(1.seconds)
                channel.send(it)
            }
            channel.close()
        }
        val received = mutableListOf<Int>()
        channel.consumeWithIdle(idle = 1.seconds, onIdle = {}, onItem = received::add)
        assertEquals((0..<50).toList(), received)
    }
}
