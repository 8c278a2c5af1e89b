package org.bramleytrestle.node.http

import kotlin.time.Duration
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select

/**
 * Passes every element to [onItem] until the channel is closed, and calls [onIdle] whenever none
 * came for [idle]. The select decides between the two at once; a receive under a timeout would
 * lose an element that arrives together with it.
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
