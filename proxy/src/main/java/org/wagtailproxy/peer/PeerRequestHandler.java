package org.wagtailproxy.peer;

import java.util.function.Consumer;
import org.wagtailproxy.wire.Envelope;

/** Handles requests from other instances. */
public interface PeerRequestHandler {

    /**
     * Handles a request.
     *
     * @param request the request, not null
     * @param reply receives the answer; may be called at most once, from any thread
     */
    void handle(Envelope request, Consumer<Envelope.Builder> reply);
}
