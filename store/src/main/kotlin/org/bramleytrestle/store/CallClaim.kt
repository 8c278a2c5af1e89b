package org.bramleytrestle.store

/** Exclusive permission for one attempt to run one call, at [version] of the call's record. */
public class CallClaim internal constructor(
    internal val name: String,
    public val attemptId: String,
    internal val version: Long
)
