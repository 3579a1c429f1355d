package org.wagtailproxy.peer;

import java.util.Objects;
import java.util.function.BiConsumer;
import org.wagtailproxy.limits.ClientLimits;
import org.wagtailproxy.limits.ExceededLimit;

/**
 * Limits on the connections that an instance accepts from others.
 *
 * @param limits the limits, whose body size is that of a frame; not null
 * @param listener is notified of an exceeded limit and its bound, not null
 */
public record PeerLimits(ClientLimits limits, BiConsumer<ExceededLimit, Long> listener) {

    /** Checks that no component is null. */
    public PeerLimits {
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(listener, "listener");
    }

    /**
     * Creates limits.
     *
     * @param limits the limits, whose body size is that of a frame; not null
     * @param listener is notified of an exceeded limit and its bound, not null
     * @return the limits, never null
     */
    public static PeerLimits of(ClientLimits limits, BiConsumer<ExceededLimit, Long> listener) {
        return new PeerLimits(limits, listener);
    }
}
