package org.wagtailproxy.dispatcher;

import io.netty.channel.EventLoopGroup;
import java.util.Objects;
import org.wagtailproxy.peer.ByteCounter;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.store.VersionedStore;

/**
 * What a dispatcher runs on and reaches others by.
 *
 * @param loop the event loop, not null
 * @param group the threads of that loop, not null
 * @param commandTransport how orders reach backend servers, not null
 * @param store where jobs are stored, not null
 * @param bytes where the bytes of the peer protocol are counted, not null
 */
public record DispatcherContext(
        EventLoop loop,
        EventLoopGroup group,
        CommandTransport commandTransport,
        VersionedStore store,
        ByteCounter bytes) {

    /** Checks the components. */
    public DispatcherContext {
        Objects.requireNonNull(loop, "loop");
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(commandTransport, "commandTransport");
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(bytes, "bytes");
    }
}
