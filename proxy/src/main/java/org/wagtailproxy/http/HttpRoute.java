package org.wagtailproxy.http;

/** Serves the calls below one part of the path. */
public interface HttpRoute {

    /**
     * Serves a call by answering it, now or later.
     *
     * @param call the call, not null
     */
    void serve(HttpCall call);
}
