package org.wagtailproxy.peer;

import io.vavr.control.Either;
import java.io.Closeable;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.wire.Envelope;

/**
 * Calls other instances and accepts their requests. Closing it ends both.
 *
 * <p>An unresponsive connection is not closed automatically: the code that made the call calls
 * {@link #closeConnection}, and the next call opens a new connection.
 */
public interface PeerTransport extends Closeable {

    /**
     * Calls an instance.
     *
     * @param address the address of the instance, not null
     * @param request the request without a correlation number, which is set by the transport, not
     *     null
     * @param timeout the maximum duration of the call, positive
     * @return a future that completes with the answer, or with the failure that the peer refused
     *     the connection or did not answer; never completes exceptionally
     */
    CompletableFuture<Either<Failure, Envelope>> call(
            HostAddress address, Envelope.Builder request, Duration timeout);

    /**
     * Closes the connection to an instance, which may be unresponsive; its pending calls fail.
     *
     * @param address the address of the instance, not null
     */
    void closeConnection(HostAddress address);

    /**
     * Starts to accept requests of other instances.
     *
     * @param address the address to listen on, not null
     * @param handler the handler of requests, not null
     */
    void listen(HostAddress address, PeerRequestHandler handler);
}
