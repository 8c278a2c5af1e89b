package org.bramleytrestle.serving

/** Asks the first server of a chain which other server of the chain blocks its requests. */
public fun interface ChainDiagnosis {
    /** Address of the blocking server; null if [first] reports none. */
    public fun faultyAddress(first: BackendServer): String?
}
