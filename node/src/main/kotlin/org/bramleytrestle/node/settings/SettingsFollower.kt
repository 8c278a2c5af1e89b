package org.bramleytrestle.node.settings

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.bramleytrestle.platform.ChangeLog

/**
 * Follows the change log while this node is one of its data centre's watchers. Other nodes get
 * changes from their peers, so that the platform's calls do not grow with the number of nodes.
 */
internal class SettingsFollower(
    private val holder: SettingsHolder,
    private val log: ChangeLog,
    private val isWatcher: () -> Boolean
) {
    suspend fun run(): Unit = coroutineScope {
        while (isActive) {
            if (!isWatcher()) {
                delay(CHECK_INTERVAL)
                continue
            }
            val follow = launch {
                log.follow(holder.state.revision).collect { holder.apply(listOf(it)) }
            }
            while (follow.isActive && isWatcher()) delay(CHECK_INTERVAL)
            follow.cancel()
            delay(CHECK_INTERVAL)
        }
    }

    private companion object {
        val CHECK_INTERVAL = 500.milliseconds
    }
}
