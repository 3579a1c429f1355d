package org.wagtailproxy.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.wire.Envelope;

/**
 * Represents one connection to another instance and its pending calls. Calls made before the
 * connection is open are sent once it is.
 */
final class PeerConnection {

    private final Map<Integer, CompletableFuture<Either<Failure, Envelope>>> mPending =
            new HashMap<>();
    private final List<Envelope> mUnsent = new ArrayList<>();
    private Channel mChannel;
    private Failure mFailure;
    private int mNextCorrelation = 1;

    CompletableFuture<Either<Failure, Envelope>> call(Envelope.Builder request) {
        CompletableFuture<Either<Failure, Envelope>> answer = new CompletableFuture<>();
        Envelope envelope;
        Channel channel;
        synchronized (this) {
            if (mFailure != null) {
                answer.complete(Either.left(mFailure));
                return answer;
            }
            int correlation = mNextCorrelation++;
            envelope = request.setCorrelation(correlation).build();
            mPending.put(correlation, answer);
            answer.whenComplete((value, thrown) -> removePending(correlation));
            channel = mChannel;
            if (channel == null) {
                mUnsent.add(envelope);
            }
        }
        if (channel != null) {
            channel.writeAndFlush(envelope);
        }
        return answer;
    }

    synchronized boolean isUsable() {
        return mFailure == null && (mChannel == null || mChannel.isActive());
    }

    void onOpened(Channel channel) {
        channel.pipeline().addLast(new AnswerHandler());
        channel.closeFuture().addListener(closed -> onFailed(connectionLost()));
        List<Envelope> unsent;
        synchronized (this) {
            if (mFailure != null) {
                channel.close();
                return;
            }
            mChannel = channel;
            unsent = List.copyOf(mUnsent);
            mUnsent.clear();
        }
        unsent.forEach(channel::write);
        channel.flush();
    }

    void close() {
        Channel channel;
        synchronized (this) {
            channel = mChannel;
        }
        onFailed(connectionLost());
        if (channel != null) {
            channel.close();
        }
    }

    void onFailed(Failure failure) {
        List<CompletableFuture<Either<Failure, Envelope>>> pending;
        synchronized (this) {
            if (mFailure == null) {
                mFailure = failure;
            }
            pending = List.copyOf(mPending.values());
            mPending.clear();
        }
        pending.forEach(answer -> answer.complete(Either.left(failure)));
    }

    private static Failure connectionLost() {
        return Failure.of(FailureKind.PEER_UNREACHABLE, "the connection was lost");
    }

    private synchronized void removePending(int correlation) {
        mPending.remove(correlation);
    }

    private void onAnswer(Envelope answer) {
        CompletableFuture<Either<Failure, Envelope>> waiting;
        synchronized (this) {
            waiting = mPending.remove(answer.getCorrelation());
        }
        if (waiting != null) {
            waiting.complete(Either.right(answer));
        }
    }

    /** Completes the pending call that an answer belongs to. */
    private final class AnswerHandler extends SimpleChannelInboundHandler<Envelope> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope answer) {
            onAnswer(answer);
        }
    }
}
