package org.bramleytrestle.store

/** Why a call to the object API gave no result. */
public enum class StoreError {
    /** Create of a name that exists. */
    ALREADY_EXISTS,

    /** The object's version is another one than the call named. */
    VERSION_CONFLICT,
    NOT_FOUND,

    /** The watch position is too old; list again. */
    EXPIRED,

    /** The call was certainly not carried out. */
    UNAVAILABLE,

    /** The answer was lost; a write may have taken effect. */
    OUTCOME_UNKNOWN
}
