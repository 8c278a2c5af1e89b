package org.bramleytrestle.store

/** The right of one attempt to run one call. */
public class RecordedCall internal constructor(
    internal val name: String,
    public val attemptId: String,
    internal val version: Long
)
