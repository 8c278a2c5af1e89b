package org.bramleytrestle.store

/** Reason why a call to the object API failed. */
public enum class StoreError {
    /** A create was rejected because the name is already in use. */
    ALREADY_EXISTS,

    /** The object's current version differs from the expected version of the call. */
    VERSION_CONFLICT,
    NOT_FOUND,

    /** The watch position is too old; the client must list again. */
    EXPIRED,

    /** The call is certain not to have taken effect. */
    UNAVAILABLE,

    /** No response was received, or a server error; a write may have taken effect. */
    OUTCOME_UNKNOWN
}
