package org.wagtailproxy.failure;

import java.util.Locale;

/** Lists the kinds of failures that are reported to callers, operators and peers. */
public enum FailureKind {
    /** The request is not a well-formed document or lacks a field. */
    MALFORMED_REQUEST(400, Executed.NO),
    /** The job has more tasks than allowed. */
    TOO_MANY_TASKS(400, Executed.NO),
    /** The request body is larger than allowed. */
    BODY_TOO_LARGE(413, Executed.NO),
    /** The request target is longer than allowed. */
    TARGET_TOO_LONG(414, Executed.NO),
    /** The header lines are larger than allowed. */
    HEADERS_TOO_LARGE(431, Executed.NO),
    /** The caller has sent too much before an earlier request was answered. */
    READ_AHEAD_EXCEEDED(429, Executed.NO),
    /** The calls of all callers are too many at a time, or take up too much memory. */
    TOO_MANY_CALLS(503, Executed.NO),
    /** No such address exists. */
    NO_SUCH_ADDRESS(404, Executed.NO),
    /** The service is not declared. */
    UNKNOWN_SERVICE(404, Executed.NO),
    /** The team is not declared. */
    UNKNOWN_TEAM(404, Executed.NO),
    /** The session token was never issued by the incarnation that it names. */
    WRONG_SESSION(400, Executed.NO),
    /** The name is taken by a job with other content. */
    NAME_CONFLICT(409, Executed.NO),
    /** The session window no longer accepts new names and has no job of this name. */
    WINDOW_CLOSED(410, Executed.NO),
    /** The session window is forgotten, so whether the job was executed is not known. */
    WINDOW_FORGOTTEN(410, Executed.UNKNOWN),
    /** The job is unknown to its home, the instance with authority over it. */
    JOB_NOT_FOUND(404, Executed.NO),
    /** The home instance of the job cannot be reached now. */
    HOME_UNREACHABLE(503, Executed.UNKNOWN),
    /**
     * The end (the final result) is known but may not be published until it is confirmed that the
     * home instance has not been sealed.
     */
    END_WITHHELD(503, Executed.UNKNOWN),
    /** The queue is full. */
    OVERLOADED(503, Executed.NO),
    /** The quota of the team is used up. */
    QUOTA_EXCEEDED(429, Executed.NO),
    /** The instance is stopping. */
    DRAINING(503, Executed.NO),
    /** The instance has no configuration yet. */
    NOT_READY(503, Executed.NO),
    /** The memory for remembered job outcomes is full. */
    OUTCOME_MEMORY_FULL(503, Executed.NO),
    /** The platform's key-value service did not answer; an earlier try may have been executed. */
    STORE_UNAVAILABLE(503, Executed.UNKNOWN),
    /** The write to the key-value service got no answer and could not be read back. */
    STORE_OUTCOME_UNKNOWN(503, Executed.UNKNOWN),
    /** The budget of claims for names without a session is used up. */
    CLAIM_BUDGET_EXCEEDED(429, Executed.NO),
    /** No backend server could ever run the job. */
    NEVER_RUNNABLE(422, Executed.NO),
    /** No backend server of the service is listed now. */
    NO_BACKEND_SERVER(503, Executed.NO),
    /** The resource has another version than the writer expected. */
    VERSION_CONFLICT(409, Executed.NO),
    /** The resource is not declared. */
    UNKNOWN_RESOURCE(404, Executed.NO),
    /** The declared resource is not valid. */
    INVALID_RESOURCE(400, Executed.NO),
    /** No backend server took the task before its deadline. */
    TASK_NOT_RUN(503, Executed.NO),
    /** The backend server reported a failure. */
    TASK_FAILED(502, Executed.YES),
    /** The task was sent and its outcome is not known. */
    TASK_OUTCOME_UNKNOWN(502, Executed.UNKNOWN),
    /** The job was cancelled. */
    CANCELLED(409, Executed.UNKNOWN),
    /** The home instance of the job is gone and the end was not replicated. */
    HOME_LOST(502, Executed.UNKNOWN),
    /** A peer did not answer in time. */
    PEER_UNREACHABLE(503, Executed.UNKNOWN),
    /** The address of a peer refused the connection. */
    PEER_REFUSED(503, Executed.UNKNOWN),
    /** An internal error occurred in the dispatcher. */
    INTERNAL(500, Executed.UNKNOWN);

    private final int mStatus;
    private final Executed mExecuted;

    FailureKind(int status, Executed executed) {
        mStatus = status;
        mExecuted = executed;
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status code, 400 to 599
     */
    public int status() {
        return mStatus;
    }

    /**
     * Returns whether the work was executed.
     *
     * @return whether it was executed, never null
     */
    public Executed executed() {
        return mExecuted;
    }

    /**
     * Returns the stable type used in problem documents.
     *
     * @return the lower-case name with hyphens, never null
     */
    public String slug() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
