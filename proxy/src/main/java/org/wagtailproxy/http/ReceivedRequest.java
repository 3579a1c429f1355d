package org.wagtailproxy.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A request that has been received completely.
 *
 * @param method the HTTP method, not null
 * @param uri the request target, not null
 * @param headers the header lines that this program reads, not null
 * @param keepAlive whether the client keeps its connection open after the response
 * @param body the body, empty for none; not null
 * @param memoryBytes the memory that the request takes up
 */
record ReceivedRequest(
        String method,
        String uri,
        HttpHeaders headers,
        boolean keepAlive,
        byte[] body,
        long memoryBytes) {

    private static final byte[] EMPTY_BODY = {};

    /** Returns a copy that does not keep the body in memory. */
    ReceivedRequest withoutBody() {
        return new ReceivedRequest(method, uri, headers, keepAlive, EMPTY_BODY, memoryBytes);
    }
}
