package org.wagtailproxy.limits;

import java.util.Locale;

/** Identifies the limit that a client has exceeded. */
public enum ExceededLimit {
    /** The number of connections of the listener. */
    CONNECTIONS,
    /** The number of requests that are handled at a time. */
    REQUESTS,
    /** The memory that the clients of the listener take up together. */
    MEMORY,
    /** The size of the requests that a connection has sent ahead of a response. */
    READ_AHEAD,
    /** The size of the request line and the header lines. */
    HEADER_SIZE,
    /** The size of the body. */
    BODY_SIZE,
    /** The time from the first byte of a request to the end of its header lines. */
    HEADER_TIME,
    /** The time from the first byte of a request to its end. */
    REQUEST_TIME,
    /** The time for which responses have not been read. */
    RESPONSE_TIME,
    /** The size of a message of another instance. */
    FRAME_SIZE;

    /**
     * Returns the name that log lines and metrics contain.
     *
     * @return the name in lower case with hyphens, never null
     */
    public String externalName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
