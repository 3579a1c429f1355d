package org.wagtailproxy.peer;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailproxy.configuration.Resource;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.membership.Seal;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.view.SharedView;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.View;
import org.wagtailproxy.wire.ViewPull;

/**
 * Exchanges resources, instance lists, members and seals with peers: pulls from peers that have
 * newer ones, and pushes changes that must reach the other instances immediately.
 */
public final class ViewExchange {

    private static final Duration PULL_TIMEOUT = Duration.ofSeconds(2);

    private final Members mMembers;
    private final PeerClient mClient;
    private final SharedView mView;
    private final EventLog mLog;
    private final Set<HostAddress> mPulling = ConcurrentHashMap.newKeySet();

    private ViewExchange(Members members, PeerClient client, SharedView view, EventLog log) {
        mMembers = members;
        mClient = client;
        mView = view;
        mLog = log;
    }

    /**
     * Creates an exchange.
     *
     * @param members the members, not null
     * @param client the client that calls them, not null
     * @param view the shared view, not null
     * @param log the event log, not null
     * @return the exchange, never null
     */
    public static ViewExchange of(
            Members members, PeerClient client, SharedView view, EventLog log) {
        Objects.requireNonNull(view, "view");
        return new ViewExchange(members, client, view, log);
    }

    /**
     * Pulls from a peer unless a pull from it is in progress.
     *
     * @param address the address of the peer, not null
     */
    public void pull(HostAddress address) {
        if (!mPulling.add(address)) {
            return;
        }
        ViewPull pull =
                ViewPull.newBuilder()
                        .setConfigurationVersion(mView.completeVersion())
                        .setInstanceListVersion(mView.instanceList().version())
                        .build();
        mClient.call(address, Envelope.newBuilder().setViewPull(pull), PULL_TIMEOUT)
                .thenAccept(
                        answer -> {
                            answer.forEach(envelope -> apply(envelope.getView()));
                            mPulling.remove(address);
                        });
    }

    /**
     * Checks whether any pull is in progress.
     *
     * @return true if an answer is outstanding
     */
    public boolean isPulling() {
        return !mPulling.isEmpty();
    }

    /**
     * Answers a pull.
     *
     * @param pull the versions that the peer has, not null
     * @return the view with the newer versions, and with all members and seals, never null
     */
    public Envelope.Builder handle(ViewPull pull) {
        View.Builder view = View.newBuilder();
        view.setConfigurationVersion(mView.completeVersion());
        view.setBaseVersion(pull.getConfigurationVersion());
        for (Resource resource : mView.newerThan(pull.getConfigurationVersion())) {
            view.addResources(MessageConverter.resource(resource));
        }
        view.setInstanceListVersion(mView.instanceList().version());
        if (mView.instanceList().version() > pull.getInstanceListVersion()) {
            view.setInstanceList(ByteString.copyFrom(mView.instanceListDocument()));
        }
        mMembers.with(
                table -> {
                    table.seals().forEach(seal -> view.addSeals(MessageConverter.seal(seal)));
                    table.members()
                            .forEach(member -> view.addMembers(MessageConverter.member(member)));
                    return null;
                });
        return Envelope.newBuilder().setView(view);
    }

    /**
     * Applies a view that a peer pushed.
     *
     * @param view the view, not null
     * @return an empty view as the receipt, never null
     */
    public Envelope.Builder handle(View view) {
        apply(view);
        return Envelope.newBuilder().setView(View.newBuilder());
    }

    /**
     * Pushes versions of resources to the live neighbours.
     *
     * @param resources the versions, not null
     * @param baseVersion the revision after which the given versions are complete
     * @param completeVersion the revision up to which they are complete, 0 if that is not known
     * @param timeout the maximum wait for each receipt
     * @return a future that completes with true once a neighbour has confirmed them, with false if
     *     none did
     */
    public CompletableFuture<Boolean> push(
            Collection<Resource> resources,
            long baseVersion,
            long completeVersion,
            Duration timeout) {
        View.Builder view =
                View.newBuilder()
                        .setBaseVersion(baseVersion)
                        .setConfigurationVersion(completeVersion);
        resources.forEach(resource -> view.addResources(MessageConverter.resource(resource)));
        List<HostAddress> addresses =
                mMembers.with(
                        table ->
                                table
                                        .liveMembersIn(
                                                mMembers.self().dataCentre(), System.nanoTime())
                                        .stream()
                                        .map(member -> member.peerAddress())
                                        .toList());
        return push(view, addresses, timeout);
    }

    /**
     * Pushes a seal to every live member.
     *
     * @param seal the seal, not null
     * @param timeout the maximum wait for each receipt
     * @return a future that completes with true once a member has confirmed it, with false if none
     *     did
     */
    public CompletableFuture<Boolean> push(Seal seal, Duration timeout) {
        View.Builder view = View.newBuilder().addSeals(MessageConverter.seal(seal));
        List<HostAddress> addresses =
                mMembers.with(
                        table ->
                                table.liveMembers(System.nanoTime()).stream()
                                        .map(member -> member.peerAddress())
                                        .toList());
        return push(view, addresses, timeout);
    }

    private CompletableFuture<Boolean> push(
            View.Builder view, List<HostAddress> addresses, Duration timeout) {
        CompletableFuture<Boolean> delivered = new CompletableFuture<>();
        List<CompletableFuture<Either<Failure, Envelope>>> calls = new ArrayList<>();
        for (HostAddress address : addresses) {
            Envelope.Builder request = Envelope.newBuilder().setView(view);
            CompletableFuture<Either<Failure, Envelope>> call =
                    mClient.call(address, request, timeout);
            call.thenAccept(
                    answer -> {
                        if (answer.isRight()) {
                            delivered.complete(true);
                        }
                    });
            calls.add(call);
        }
        CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
                .thenRun(() -> delivered.complete(false));
        return delivered;
    }

    private void apply(View view) {
        List<Resource> resources = new ArrayList<>();
        view.getResourcesList()
                .forEach(message -> MessageConverter.resource(message).forEach(resources::add));
        boolean contiguous = mView.completeVersion() >= view.getBaseVersion();
        mView.merge(resources, contiguous ? view.getConfigurationVersion() : 0);
        if (!view.getInstanceList().isEmpty()) {
            applyInstanceList(view.getInstanceList().toByteArray());
        }
        long nowNanos = System.nanoTime();
        view.getMembersList()
                .forEach(
                        message ->
                                MessageConverter.member(message)
                                        .forEach(member -> recordMember(member, nowNanos)));
        view.getSealsList()
                .forEach(message -> MessageConverter.seal(message).forEach(this::recordSeal));
    }

    private void applyInstanceList(byte[] document) {
        if (mView.mergeInstanceList(document)) {
            mMembers.with(
                    table -> {
                        table.updateListed(
                                mView.instanceList().entryInstances(), false, System.nanoTime());
                        return null;
                    });
        }
    }

    private void recordMember(org.wagtailproxy.membership.Member member, long nowNanos) {
        mMembers.with(
                table -> {
                    table.onMemberReported(member, nowNanos);
                    return null;
                });
    }

    private void recordSeal(Seal seal) {
        if (mMembers.with(table -> table.recordSeal(seal, System.nanoTime()))) {
            mLog.event(EventName.SEALED)
                    .with(EventField.SUBJECT, seal.incarnation())
                    .with(EventField.DETAIL, seal.kind())
                    .info();
        }
    }
}
