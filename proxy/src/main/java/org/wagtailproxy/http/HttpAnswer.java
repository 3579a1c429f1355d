package org.wagtailproxy.http;

import java.util.Map;
import java.util.Objects;

/**
 * The answer to an HTTP request.
 *
 * @param status the status code
 * @param headers the header lines by their names, without the length of the body; not null
 * @param body the body, empty for none; not null
 */
public record HttpAnswer(int status, Map<String, String> headers, byte[] body) {

    private static final byte[] EMPTY_BODY = {};

    /** Checks the components. */
    public HttpAnswer {
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /**
     * Creates an answer without a body.
     *
     * @param status the status code
     * @return the answer, never null
     */
    public static HttpAnswer empty(int status) {
        return new HttpAnswer(status, Map.of(), EMPTY_BODY);
    }
}
