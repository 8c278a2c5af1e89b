package org.bramleytrestle.store

import com.github.michaelbull.result.Result
import kotlin.time.Duration

/**
 * A store whose watches also return the version up to which they read, so that the watch position
 * of a kind without changes advances and does not expire.
 */
public interface BatchWatchStore : ObjectStore {
    /** Waits up to [wait] for changes of [kind] after [afterVersion]. */
    public suspend fun watchBatch(
        kind: String,
        afterVersion: Long,
        wait: Duration
    ): Result<WatchBatch, StoreError>
}
