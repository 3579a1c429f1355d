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
 * Reads the configuration and the instance list from the platform and merges them into the shared
 * view.
 *
 * <p>Instances of a data centre take turns: the caller lengthens the poll interval with the number
 * of neighbours, so that the data centre as a whole reads at a constant rate.
 */
public final class PlatformPoller {

    /** The prefix of the store keys of resources. */
    public static final String RESOURCE_PREFIX = "configuration/";

    private static final Duration PUSH_TIMEOUT = Duration.ofMillis(300);

    private final KeyValueStore mStore;
    private final InstanceListReader mListReader;
    private final SharedView mView;
    private final Members mMembers;
    private final ViewExchange mExchange;
    private final EventLog mLog;
    private volatile boolean mHasReadStore;
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
     * @param listReader reads the instance list, not null
     * @param view the view to update, not null
     * @param members the known instances, not null
     * @param exchange sends new versions to the neighbours, not null
     * @param log the event log, not null
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
     * Reads the instance list and the changed configuration once. Blocks.
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
                                table.updateListed(
                                        mView.instanceList().entryInstances(), true, listNanos);
                                return null;
                            });
                });
        long baseVersion = mView.completeVersion();
        Either<Failure, StoreRange> range = mStore.range(RESOURCE_PREFIX, baseVersion);
        range.forEach(read -> mergeRange(read, baseVersion));
        logReachability(range.isRight());
        return range.isRight();
    }

    /**
     * Checks whether this instance has ever read the configuration from the store itself, not only
     * from neighbours.
     *
     * @return true if it has
     */
    public boolean hasReadStore() {
        return mHasReadStore;
    }

    /**
     * Activates a version that this instance has just written to the store.
     *
     * @param resource the written version, not null
     */
    public void activateWritten(Resource resource) {
        activate(List.of(resource), 0, 0);
    }

    private void mergeRange(StoreRange range, long baseVersion) {
        List<Resource> resources = new ArrayList<>();
        for (StoreEntry entry : range.entries()) {
            parseResource(entry).forEach(resources::add);
        }
        activate(resources, baseVersion, range.revision());
        mHasReadStore = true;
    }

    /**
     * Merges new versions into the view. They are sent to a neighbour first, so that this instance
     * can get them back after a restart.
     */
    private void activate(List<Resource> resources, long baseVersion, long completeVersion) {
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

    private static Option<Resource> parseResource(StoreEntry entry) {
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

    private void logReachability(boolean reached) {
        if (reached != mReached) {
            mReached = reached;
            mLog.event(reached ? EventName.PLATFORM_REACHED : EventName.PLATFORM_LOST)
                    .with(EventField.VERSION, mView.completeVersion())
                    .warn();
        }
    }
}
