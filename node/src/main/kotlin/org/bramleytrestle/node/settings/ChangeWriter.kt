package org.bramleytrestle.node.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Failure
import org.bramleytrestle.settings.Change
import org.bramleytrestle.store.AppendOutcome
import org.bramleytrestle.store.ChangeLog

/** Validates changes from operators, appends them to the change log and applies them. */
internal class ChangeWriter(
    private val holder: SettingsHolder,
    private val changeLog: ChangeLog,
    private val scope: CoroutineScope
) {
    /** Returns the accepted change. A retry with the same id returns the change it repeats. */
    suspend fun write(request: ChangeRequest, author: String): Result<Change, Failure> {
        val state = holder.state
        if (request.baseRevision > state.revision) {
            return conflict("this node has only applied revision ${state.revision}; try again")
        }
        if (request.baseRevision < state.revision) return resolveStaleBase(request)
        val next = state.patched(request.patch).getOrElse { errors ->
            return Err(Failure(ErrorKind.INVALID_SETTINGS, errors.joinToString("; ")))
        }
        val change = Change(
            revision = next.revision,
            changeId = request.changeId,
            author = author,
            reason = request.reason,
            timeMillis = System.currentTimeMillis(),
            patch = request.patch,
            undo = next.patchTo(state)
        )
        return when (val outcome = changeLog.append(change)) {
            AppendOutcome.Accepted -> {
                holder.apply(listOf(change))
                scope.launch { changeLog.snapshotIfDue(next.revision, next.tree) }
                Ok(change)
            }
            is AppendOutcome.Conflict -> {
                holder.apply(listOf(outcome.winner))
                conflict(describe(outcome.winner))
            }
            AppendOutcome.Unavailable -> Err(
                Failure(ErrorKind.PLATFORM_UNAVAILABLE, "the change was not accepted")
            )
            AppendOutcome.Unknown -> Err(
                Failure(
                    ErrorKind.OUTCOME_UNKNOWN,
                    "change ${change.changeId} may have been accepted; retry it unchanged"
                )
            )
        }
    }

    private suspend fun resolveStaleBase(request: ChangeRequest): Result<Change, Failure> {
        val later = holder.changesAfter(request.baseRevision)
            ?: changeLog.readAfter(request.baseRevision).getOrElse { emptyList() }
        val duplicate = later.firstOrNull { it.changeId == request.changeId }
        if (duplicate != null) return Ok(duplicate)
        val winner = later.firstOrNull() ?: return conflict("the base revision is not the latest")
        return conflict(describe(winner))
    }

    private fun describe(winner: Change) =
        "revision ${winner.revision} is change ${winner.changeId} by ${winner.author}"

    private fun conflict(detail: String) = Err(Failure(ErrorKind.CONFLICT, detail))
}
