package org.wagtailproxy.dispatcher;

import io.netty.channel.EventLoopGroup;
import java.util.Objects;
import org.wagtailproxy.peer.ByteCounter;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.store.VersionedStore;

/**
 * The event loop, transport, store and byte counter that a dispatcher uses.
 *
 * @param loop the event loop, not null
 * @param group the threads of that loop, not null
 * @param commandTransport sends commands to backend servers, not null
 * @param store stores jobs, not null
 * @param bytes counts the bytes of the peer protocol, not null
 */
public record DispatcherContext(
        EventLoop loop,
        EventLoopGroup group,
        CommandTransport commandTransport,
        VersionedStore store,
        ByteCounter bytes) {

    /** Checks that no component is null. */
    public DispatcherContext {
        Objects.requireNonNull(loop, "loop");
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(commandTransport, "commandTransport");
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(bytes, "bytes");
    }
}
