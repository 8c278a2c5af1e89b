package org.bramleytrestle.standins.platform

/** Errors of the object API with their HTTP status and `reason`, as in the Kubernetes API. */
public enum class StoreError(public val status: Int, public val reason: String) {
    NOT_FOUND(404, "NotFound"),
    ALREADY_EXISTS(409, "AlreadyExists"),
    CONFLICT(409, "Conflict"),
    EXPIRED(410, "Expired"),
    TOO_LARGE(413, "RequestEntityTooLarge"),
    UNAVAILABLE(503, "ServiceUnavailable")
}
