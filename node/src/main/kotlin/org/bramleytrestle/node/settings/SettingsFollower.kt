package org.bramleytrestle.node.settings

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.bramleytrestle.settings.SettingsState
import org.bramleytrestle.store.ChangeLog

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
                load()
                log.follow(holder.state.revision).collect { holder.apply(listOf(it)) }
            }
            while (follow.isActive && isWatcher()) delay(CHECK_INTERVAL)
            follow.cancel()
            delay(CHECK_INTERVAL)
        }
    }

    /** Takes the newest snapshot when it is ahead of what peers have given. */
    private suspend fun load() {
        val loaded = log.load().getOrElse { return }
        SettingsState.of(loaded.revision, loaded.tree)
            .onSuccess(holder::replace)
            .onFailure { faults ->
                logger.error { "settings: snapshot ${loaded.revision} is invalid: $faults" }
            }
        holder.apply(loaded.changes)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val CHECK_INTERVAL = 500.milliseconds
    }
}
