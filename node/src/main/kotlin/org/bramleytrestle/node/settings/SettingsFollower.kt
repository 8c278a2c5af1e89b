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
 * Follows the change log while this node is one of the watchers of its data centre. Other nodes
 * receive changes from their peers, so that calls to the platform do not grow with the number of
 * nodes.
 */
internal class SettingsFollower(
    private val holder: SettingsHolder,
    private val changeLog: ChangeLog,
    private val isWatcher: () -> Boolean
) {
    suspend fun run(): Unit = coroutineScope {
        while (isActive) {
            if (!isWatcher()) {
                delay(CHECK_INTERVAL)
                continue
            }
            val followJob = launch {
                loadLatest()
                changeLog.follow(holder.state.revision).collect { holder.apply(listOf(it)) }
            }
            while (followJob.isActive && isWatcher()) delay(CHECK_INTERVAL)
            followJob.cancel()
            delay(CHECK_INTERVAL)
        }
    }

    /** Loads the latest snapshot and the changes after it; older revisions are ignored. */
    private suspend fun loadLatest() {
        val loaded = changeLog.load().getOrElse { return }
        SettingsState.of(loaded.revision, loaded.tree)
            .onSuccess(holder::replace)
            .onFailure { errors ->
                logger.error { "settings: snapshot ${loaded.revision} is invalid: $errors" }
            }
        holder.apply(loaded.changes)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val CHECK_INTERVAL = 500.milliseconds
    }
}
