package org.wagtailproxy.dispatcher;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Function;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.leadership.HomeProcess;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.peer.PeerTransport;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.WorkAnswer;
import org.wagtailproxy.wire.WorkForwarded;
import org.wagtailproxy.workload.JobId;

/**
 * Informs the home instances of jobs that these run in another data centre. A home answers with the
 * leader that it waits for. Confined to the event loop.
 */
final class ForwardingNotices implements RemoteJobForwarder.HomeNotifier {

    /** Timeout of a notice to another instance of this data centre. */
    private static final Duration TIMEOUT = Duration.ofMillis(200);

    private final HomeProcess mSelf;
    private final EventLoop mLoop;
    private final LeaderElection mElection;
    private final PeerTransport mClient;
    private final Function<JobId, Option<InstanceName>> mOwnJobs;

    /**
     * Creates the notices of an instance.
     *
     * @param ownJobs marks a job of this instance's callers as forwarded, and returns the leader
     *     that it waits for, none if there is no such job
     */
    ForwardingNotices(
            HomeProcess self,
            EventLoop loop,
            LeaderElection election,
            PeerTransport client,
            Function<JobId, Option<InstanceName>> ownJobs) {
        mSelf = self;
        mLoop = loop;
        mElection = election;
        mClient = client;
        mOwnJobs = ownJobs;
    }

    @Override
    public void notifyHome(JobId job, HomeProcess home, Consumer<Boolean> informed) {
        if (home.equals(mSelf)) {
            informed.accept(mOwnJobs.apply(job).contains(mSelf.name()));
            return;
        }
        Option<HostAddress> address = mElection.address(home.name());
        if (address.isEmpty()) {
            mLoop.execute(() -> informed.accept(false));
            return;
        }
        WorkForwarded.Builder message = WorkForwarded.newBuilder().setJob(job.value());
        mClient.call(address.get(), Envelope.newBuilder().setWorkForwarded(message), TIMEOUT)
                .thenAccept(
                        answer ->
                                mLoop.execute(
                                        () ->
                                                informed.accept(
                                                        answer.exists(this::namesThisLeader))));
    }

    private boolean namesThisLeader(Envelope answer) {
        return answer.hasWorkAnswer()
                && answer.getWorkAnswer().getKind() == WorkAnswer.Kind.ACCEPTED
                && answer.getWorkAnswer().getReason().equals(mSelf.name().value());
    }
}
