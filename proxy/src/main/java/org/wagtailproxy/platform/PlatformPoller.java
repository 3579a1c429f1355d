package org.wagtailproxy.platform;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ExecutionException;
import org.wagtailproxy.configuration.Resource;
import org.wagtailproxy.configuration.ResourceId;
import org.wagtailproxy.configuration.ResourceKind;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.peer.Members;
import org.wagtailproxy.peer.ViewExchange;
import org.wagtailproxy.view.SharedView;

/**
 * Reads configuration and instance list from the platform, in turn with the neighbours: the
 * interval grows with their number, so that a data centre as a whole reads at a constant rate.
 */
public final class PlatformPoller {

    /** The prefix of the keys of resources. */
    public static final String RESOURCE_PREFIX = "configuration/";

    private static final Duration PUSH_TIMEOUT = Duration.ofMillis(300);

    private final KeyValueStore mStore;
    private final InstanceListReader mListReader;
    private final SharedView mView;
    private final Members mMembers;
    private final ViewExchange mExchange;
    private final EventLog mLog;
    private volatile boolean mStoreRead;
    private boolean mReached = true;

    private PlatformPoller(
            KeyValueStore store,
            InstanceListReader listReader,
            SharedView view,
            Members members,
            ViewExchange exchange,
            EventLog log) {
        mStore = store;
        mListReader = listReader;
        mView = view;
        mMembers = members;
        mExchange = exchange;
        mLog = log;
    }

    /**
     * Creates a poller.
     *
     * @param store the key-value service, not null
     * @param listReader the instance list, not null
     * @param view what is kept up to date, not null
     * @param members the members, not null
     * @param exchange how new versions reach the neighbours, not null
     * @param log the log, not null
     * @return the poller, never null
     */
    public static PlatformPoller of(
            KeyValueStore store,
            InstanceListReader listReader,
            SharedView view,
            Members members,
            ViewExchange exchange,
            EventLog log) {
        Objects.requireNonNull(store, "store");
        return new PlatformPoller(store, listReader, view, members, exchange, log);
    }

    /**
     * Reads both once; blocks.
     *
     * @return true if the store answered
     */
    public boolean poll() {
        Either<Failure, byte[]> list = mListReader.read();
        long listNanos = System.nanoTime();
        list.forEach(
                document -> {
                    mView.mergeInstanceList(document);
                    mMembers.with(
                            table -> {
                                table.updateListed(mView.instanceList().entries(), true, listNanos);
                                return null;
                            });
                });
        long baseVersion = mView.completeVersion();
        Either<Failure, StoreRange> range = mStore.range(RESOURCE_PREFIX, baseVersion);
        range.forEach(read -> take(read, baseVersion));
        note(range.isRight());
        return range.isRight();
    }

    /**
     * Tests whether configuration was ever read from the store itself.
     *
     * @return true if it was
     */
    public boolean storeRead() {
        return mStoreRead;
    }

    /**
     * Brings a version into force that this instance has just written.
     *
     * @param resource the version, not null
     */
    public void accept(Resource resource) {
        inForce(List.of(resource), 0, 0);
    }

    private void take(StoreRange range, long baseVersion) {
        List<Resource> resources = new ArrayList<>();
        for (StoreEntry entry : range.entries()) {
            resource(entry).forEach(resources::add);
        }
        inForce(resources, baseVersion, range.revision());
        mStoreRead = true;
    }

    /** A neighbour receives new versions first, so that a restart of this instance keeps them. */
    private void inForce(List<Resource> resources, long baseVersion, long completeVersion) {
        if (!resources.isEmpty()) {
            try {
                mExchange.push(resources, baseVersion, completeVersion, PUSH_TIMEOUT).get();
            } catch (ExecutionException failure) {
                throw new IllegalStateException("a push completes normally", failure);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        mView.merge(resources, completeVersion);
    }

    private static Option<Resource> resource(StoreEntry entry) {
        String[] parts = entry.key().substring(RESOURCE_PREFIX.length()).split("/", 2);
        if (parts.length != 2 || !Names.isName(parts[1])) {
            return Option.none();
        }
        return ResourceKind.parse(parts[0])
                .map(
                        kind ->
                                Resource.of(
                                        ResourceId.of(kind, parts[1]),
                                        entry.revision(),
                                        entry.value()));
    }

    private void note(boolean reached) {
        if (reached != mReached) {
            mReached = reached;
            mLog.event(reached ? EventName.PLATFORM_REACHED : EventName.PLATFORM_LOST)
                    .with(EventField.VERSION, mView.completeVersion())
                    .warn();
        }
    }
}
