package org.wagtailproxy.observe;

/** Identifies a field of a log line, apart from the fields that identify the instance. */
public enum EventField {
    /** A job's name. */
    JOB("job"),
    /** A task's key. */
    TASK("task"),
    /** A service. */
    SERVICE("service"),
    /** A team. */
    TEAM("team"),
    /** The type of a failure. */
    FAILURE("failure"),
    /** The detail text of a failure. */
    DETAIL("detail"),
    /** The incarnation that the event concerns. */
    SUBJECT("subject"),
    /** An address. */
    ADDRESS("address"),
    /** A resource. */
    RESOURCE("resource"),
    /** A version. */
    VERSION("version"),
    /** A count of the items that the event concerns. */
    COUNT("count"),
    /** Another instance. */
    PEER("peer"),
    /** A backend server. */
    SERVER("server"),
    /** The number of the attempt to run a task. */
    ATTEMPT("attempt"),
    /** A fencing token. */
    TOKEN("token"),
    /** The outcome of an operation, job or run. */
    OUTCOME("outcome"),
    /** The reason for the outcome or the event. */
    REASON("reason"),
    /** The priority of a queue. */
    PRIORITY("priority"),
    /** The objective of a job: milliseconds within which its caller expects the answer. */
    OBJECTIVE("objective"),
    /** A duration in milliseconds. */
    MILLISECONDS("milliseconds");

    private final String mKey;

    EventField(String key) {
        mKey = key;
    }

    String key() {
        return mKey;
    }
}
