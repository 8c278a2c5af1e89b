package org.bramleytrestle.store

import com.github.michaelbull.result.Result
import kotlin.time.Duration

/** A store whose watches also tell how far they looked, so that a quiet kind never expires. */
public interface ChangeSource : ObjectStore {
    /** Waits up to [wait] for changes of [kind] after [afterVersion]. */
    public suspend fun changes(
        kind: String,
        afterVersion: Long,
        wait: Duration
    ): Result<ChangeBatch, StoreError>
}
