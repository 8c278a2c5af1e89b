package org.bramleytrestle.store

/**
 * Versions of a store that may come back from an older copy and then gives out revisions again.
 *
 * A version combines the number of such returns, the era, with a revision, so that versions rise
 * also when the store goes back, and versions of different eras never compare as equal. In era 0,
 * and in a store without eras, a version is the revision.
 */
public object StoreVersion {
    /** Enough for a counter that starts at the Unix time in milliseconds. */
    private const val REVISION_BITS = 44
    private const val MAX_REVISION = (1L shl REVISION_BITS) - 1
    private const val MAX_ERA = Long.MAX_VALUE shr REVISION_BITS

    /** @throws IllegalArgumentException if a number is negative or too large. */
    public fun of(era: Long, revision: Long): Long {
        require(era in 0..MAX_ERA) { "store era: got $era, expected 0 to $MAX_ERA" }
        require(revision in 0..MAX_REVISION) {
            "store revision: got $revision, expected 0 to $MAX_REVISION"
        }
        return (era shl REVISION_BITS) or revision
    }

    public fun era(version: Long): Long = version shr REVISION_BITS

    public fun revision(version: Long): Long = version and MAX_REVISION

    /** For log lines: the era and the revision. */
    public fun text(version: Long): String = "${era(version)}/${revision(version)}"
}
