package io.laburnummoor.core;

/** Stable error codes that callers and operators see, each with its HTTP status. */
public enum ErrorCode {
    /** The request body or a header is malformed. */
    BAD_REQUEST("bad_request", 400),
    /** The organisation is unknown or its key does not match. */
    UNAUTHENTICATED("unauthenticated", 401),
    /** The service is not declared. */
    UNKNOWN_SERVICE("unknown_service", 404),
    /** A request with this idempotency key is running and has a caller attached. */
    DUPLICATE_RUNNING("duplicate_running", 409),
    /** The call was handed to an upstream and its result is not known. */
    OUTCOME_UNKNOWN("outcome_unknown", 409),
    /** Another router has taken over the answer. */
    SUPERSEDED("superseded", 409),
    /** The configuration changed since it was read. */
    CONFLICT("conflict", 409),
    /** The state needed to continue the answer no longer exists. */
    ANSWER_LOST("answer_lost", 410),
    /** The idempotency key is older than the retention deadline; nothing is said about an earlier run. */
    KEY_EXPIRED("key_expired", 410),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE("body_too_large", 413),
    /** The idempotency key was used before with another body. */
    KEY_REUSED("key_reused", 422),
    /** The request has crashed several upstreams and is stopped everywhere. */
    REQUEST_QUARANTINED("request_quarantined", 422),
    /** The idempotency key's issue time is in the future beyond the clock bound; the call was not run. */
    KEY_NOT_YET_VALID("key_not_yet_valid", 422),
    /** A limit of the organisation is reached. */
    LIMIT_EXCEEDED("limit_exceeded", 429),
    /** The request was refused early because it could not finish before its deadline. */
    OVERLOADED("overloaded", 503),
    /** No upstream of the version that the answer is bound to is left. */
    VERSION_GONE("version_gone", 503),
    /** No upstream can take the request now. */
    NO_UPSTREAM("no_upstream", 503),
    /** No agent can keep the journal of the answer. */
    JOURNAL_UNAVAILABLE("journal_unavailable", 503),
    /** The call was not handed to any upstream. */
    NOT_RUN("not_run", 503),
    /** The process is stopping and takes no new work. */
    STOPPING("stopping", 503),
    /** Another process of the system did not answer in time. */
    PEER_UNREACHABLE("peer_unreachable", 503),
    /** The key-value service did not answer. */
    STORE_UNAVAILABLE("store_unavailable", 503),
    /** A file of settings or declarations has faults. */
    INVALID_SETTINGS("invalid_settings", 400),
    /** A live process cannot read the format of a declaration. */
    UNREADABLE_FORMAT("unreadable_format", 409),
    /** The deadline of the request passed. */
    DEADLINE_EXCEEDED("deadline_exceeded", 504),
    /** A fault of the system itself. */
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

    /** Returns the HTTP status that goes with this code. */
    public int httpStatus() {
        return httpStatus;
    }
}
