package org.bramleytrestle.model

/**
 * Every kind of error that is returned to callers and operators. The set is closed, so that the
 * status and the execution guarantee of each kind are defined in one place.
 *
 * @property wireName value of `kind` in the problem document (RFC 9457).
 * @property status HTTP status code.
 * @property executed whether the request may have been executed.
 * @property retryable whether the same request can succeed later; the response states when.
 */
public enum class ErrorKind(
    public val wireName: String,
    public val status: Int,
    public val executed: Executed,
    public val retryable: Boolean,
    public val title: String
) {
    BAD_REQUEST("badRequest", 400, Executed.NO, false, "The request is malformed"),
    UNAUTHENTICATED("unauthenticated", 401, Executed.NO, false, "A valid token is required"),
    MODEL_NOT_ALLOWED("modelNotAllowed", 403, Executed.NO, false, "The model may not be used"),
    NOT_FOUND("notFound", 404, Executed.NO, false, "The resource does not exist"),
    CONFLICT("conflict", 409, Executed.NO, false, "Another change was accepted first"),
    IN_PROGRESS_OR_UNKNOWN(
        "inProgressOrUnknown",
        409,
        Executed.UNKNOWN,
        false,
        "A call with this key is in progress or its outcome is unknown"
    ),
    BODY_TOO_LARGE("bodyTooLarge", 413, Executed.NO, false, "The body is too large"),
    INVALID_SETTINGS("invalidSettings", 422, Executed.NO, false, "The settings are invalid"),
    RATE_LIMITED("rateLimited", 429, Executed.NO, true, "The organisation's limit is reached"),
    INTERNAL("internal", 500, Executed.UNKNOWN, false, "The node failed"),
    PROMPT_WITHHELD(
        "promptWithheld",
        500,
        Executed.NO,
        false,
        "A part of the prompt crashes backend servers"
    ),
    REQUEST_WITHHELD(
        "requestWithheld",
        500,
        Executed.NO,
        false,
        "The request crashes backend servers"
    ),
    BACKEND_FAILED("backendFailed", 502, Executed.UNKNOWN, false, "The backend servers failed"),
    OUTCOME_UNKNOWN("outcomeUnknown", 502, Executed.UNKNOWN, false, "The outcome is unknown"),
    NO_ROUTE("noRoute", 503, Executed.NO, true, "No backend server can take the request"),
    OVERLOADED("overloaded", 503, Executed.NO, true, "The deadline cannot be met"),
    LEAVING("leaving", 503, Executed.NO, true, "The node is shutting down"),
    PLATFORM_UNAVAILABLE(
        "platformUnavailable",
        503,
        Executed.NO,
        true,
        "The object API is unavailable"
    ),
    DEADLINE_NOT_RUN("deadlineNotRun", 504, Executed.NO, true, "The deadline passed in the queue"),
    DEADLINE_EXCEEDED("deadlineExceeded", 504, Executed.UNKNOWN, false, "The deadline passed")
}
