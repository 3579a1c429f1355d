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
    /** A detail text of the event, such as the detail of a failure or the kind of a seal. */
    DETAIL("detail"),
    /** The incarnation that the event concerns. */
    SUBJECT("subject"),
    /** The address of an instance. */
    ADDRESS("address"),
    /** The kind and name of a resource, or the key or key prefix of entries of the store. */
    RESOURCE("resource"),
    /**
     * The version of a resource or of the configuration, the time in Unix milliseconds at which an
     * incarnation of a backend server started, or the generation of the coordinator of the stored
     * jobs.
     */
    VERSION("version"),
    /** A count of the items that the event concerns. */
    COUNT("count"),
    /** The name of another instance, or of another data centre when a job is forwarded. */
    PEER("peer"),
    /** A backend server. */
    SERVER("server"),
    /** The number of the attempt to run a task. */
    ATTEMPT("attempt"),
    /** The fencing token that this instance uses for a backend server. */
    TOKEN("token"),
    /** The outcome of an operation, job or run. */
    OUTCOME("outcome"),
    /** The reason for the outcome or the event. */
    REASON("reason"),
    /** The priority of a job. */
    PRIORITY("priority"),
    /** The objective of a job: milliseconds within which its caller expects the answer. */
    OBJECTIVE("objective"),
    /** The bound of a limit, in the unit of the limit. */
    BOUND("bound"),
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
