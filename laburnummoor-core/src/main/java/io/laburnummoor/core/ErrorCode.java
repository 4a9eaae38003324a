package io.laburnummoor.core;

/** Stable error codes returned to callers and operators, each with its HTTP status. */
public enum ErrorCode {
    /** The request body or a header is malformed. */
    BAD_REQUEST("bad_request", 400),
    /** The organisation is unknown or its key does not match. */
    UNAUTHENTICATED("unauthenticated", 401),
    /** The service is not declared. */
    UNKNOWN_SERVICE("unknown_service", 404),
    /** A request with this idempotency key is running and has a caller attached. */
    DUPLICATE_RUNNING("duplicate_running", 409),
    /** The call was sent to an upstream and its result is not known. */
    OUTCOME_UNKNOWN("outcome_unknown", 409),
    /** Another router has taken over writing the answer. */
    SUPERSEDED("superseded", 409),
    /** The configuration changed since it was read. */
    CONFLICT("conflict", 409),
    /** The state needed to continue the answer no longer exists. */
    ANSWER_LOST("answer_lost", 410),
    /** The idempotency key is past its retention deadline; whether the call ran earlier is unknown. */
    KEY_EXPIRED("key_expired", 410),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE("body_too_large", 413),
    /** The idempotency key was used before with another body. */
    KEY_REUSED("key_reused", 422),
    /** The request has crashed several upstreams and is quarantined on all routers. */
    REQUEST_QUARANTINED("request_quarantined", 422),
    /** The key's issue time is later than now plus {@link Clock#MAX_CLOCK_DIFFERENCE_MILLIS}; the call was not run. */
    KEY_NOT_YET_VALID("key_not_yet_valid", 422),
    /** The organisation has reached one of its limits. */
    LIMIT_EXCEEDED("limit_exceeded", 429),
    /** The request was refused early because it could not finish before its deadline. */
    OVERLOADED("overloaded", 503),
    /** No upstream runs the version that the answer is bound to. */
    VERSION_GONE("version_gone", 503),
    /** No upstream can accept the request now. */
    NO_UPSTREAM("no_upstream", 503),
    /** No agent can store the journal of the answer. */
    JOURNAL_UNAVAILABLE("journal_unavailable", 503),
    /** The call was not sent to any upstream. */
    NOT_RUN("not_run", 503),
    /** The process is stopping and accepts no new work. */
    STOPPING("stopping", 503),
    /** Another process of the system did not answer in time. */
    PEER_UNREACHABLE("peer_unreachable", 503),
    /** The key-value service did not answer. */
    STORE_UNAVAILABLE("store_unavailable", 503),
    /** A settings or declarations file is invalid. */
    INVALID_SETTINGS("invalid_settings", 400),
    /** A running process cannot read the format of a declaration. */
    UNREADABLE_FORMAT("unreadable_format", 409),
    /** The deadline of the request passed. */
    DEADLINE_EXCEEDED("deadline_exceeded", 504),
    /** An internal error. */
    INTERNAL("internal", 500);

    private final String code;
    private final int httpStatus;

    ErrorCode(String code, int httpStatus) {
        this.code = code;
        this.httpStatus = httpStatus;
    }

    /** Returns the stable text of this code, for example {@code answer_lost}. */
    public String code() {
        return code;
    }

    /** Returns the HTTP status sent with this code. */
    public int httpStatus() {
        return httpStatus;
    }
}
