package org.wagtailproxy.http;

/** Serves the calls whose path starts with a given prefix. */
public interface HttpRoute {

    /**
     * Serves a call. The answer may be sent after this method has returned, and from another
     * thread.
     *
     * @param call the call, not null
     */
    void serve(HttpCall call);
}
