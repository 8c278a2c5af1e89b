package org.bramleytrestle.node.http

import kotlin.time.Duration
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select

/**
 * Passes every element to [onItem] until the channel is closed, and calls [onIdle] whenever no
 * element has arrived for [idle]. The select atomically either receives or times out; a receive
 * inside a timeout could lose an element that arrives at the same moment.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal suspend fun <T : Any> ReceiveChannel<T>.consumeWithIdle(
    idle: Duration,
    onIdle: () -> Unit,
    onItem: (T) -> Unit
) {
    while (true) {
        val next = select {
            onReceiveCatching { it }
            onTimeout(idle) { null }
        }
        when {
            next == null -> onIdle()
            next.isClosed -> return
            else -> onItem(next.getOrThrow())
        }
    }
}
