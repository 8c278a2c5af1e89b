package org.bramleytrestle.serving

/** Asks the first server of a chain which other server holds its requests up. */
public fun interface ChainDiagnosis {
    /** Address of the server that holds requests up; null if [first] names none. */
    public fun faultyAddress(first: BackendServer): String?
}
