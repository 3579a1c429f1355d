package org.wagtailproxy.dispatcher;

import java.util.Objects;
import org.wagtailproxy.peer.PeerTransport;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.store.VersionedStore;

/**
 * The event loop, transports and store that a dispatcher uses.
 *
 * @param loop the event loop, not null
 * @param peerTransport calls and listens to other instances, closed by the dispatcher, not null
 * @param commandTransport sends commands to backend servers, not null
 * @param store stores jobs, not null
 */
public record DispatcherContext(
        EventLoop loop,
        PeerTransport peerTransport,
        CommandTransport commandTransport,
        VersionedStore store) {

    /** Checks that no component is null. */
    public DispatcherContext {
        Objects.requireNonNull(loop, "loop");
        Objects.requireNonNull(peerTransport, "peerTransport");
        Objects.requireNonNull(commandTransport, "commandTransport");
        Objects.requireNonNull(store, "store");
    }
}
