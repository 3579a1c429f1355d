package org.wagtailproxy.view;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.wagtailproxy.configuration.ConfigurationView;
import org.wagtailproxy.configuration.Resource;
import org.wagtailproxy.configuration.ResourceId;
import org.wagtailproxy.configuration.ResourceKind;
import org.wagtailproxy.configuration.ServiceSpec;
import org.wagtailproxy.configuration.TeamSpec;
import org.wagtailproxy.document.ResourceDocuments;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.identity.TeamName;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.platform.InstanceList;
import org.wagtailproxy.platform.InstanceListReader;

/**
 * Stores this instance's copy of the active configuration and of the newest instance list, and
 * merges newer versions from the store or from peers into it.
 *
 * <p>Safe for use by several threads. Services, teams, the instance list and the version numbers
 * are read without a lock.
 */
public final class SharedView {

    private final Object mLock = new Object();
    private final EventLog mLog;
    private final ConfigurationView mConfiguration = ConfigurationView.of();
    private final List<ViewListener> mListeners = new CopyOnWriteArrayList<>();
    private volatile Map<ServiceName, ServiceSpec> mServices = Map.of();
    private volatile Map<TeamName, TeamSpec> mTeams = Map.of();
    private volatile InstanceList mInstanceList = InstanceList.empty();
    private volatile byte[] mInstanceListDocument = new byte[0];
    private volatile long mCompleteVersion;
    private volatile long mHighestVersion;

    private SharedView(EventLog log) {
        mLog = log;
    }

    /**
     * Creates an empty view.
     *
     * @param log the event log, not null
     * @return the view, never null
     */
    public static SharedView of(EventLog log) {
        return new SharedView(Objects.requireNonNull(log, "log"));
    }

    /**
     * Adds a listener that is notified after each change.
     *
     * @param listener the listener, not null
     */
    public void addListener(ViewListener listener) {
        mListeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /**
     * Merges versions of resources into the view and notifies the listeners of changes.
     *
     * @param resources the versions, not null
     * @param completeVersion the revision up to which nothing is missing, 0 if that is not known
     */
    public void merge(Collection<Resource> resources, long completeVersion) {
        List<Resource> changed;
        synchronized (mLock) {
            changed = mConfiguration.mergeComplete(resources, completeVersion);
            mCompleteVersion = mConfiguration.completeVersion();
            mHighestVersion = mConfiguration.highestVersion();
            if (!changed.isEmpty()) {
                decodeResources();
            }
            mLock.notifyAll();
        }
        for (Resource resource : changed) {
            mLog.event(EventName.RESOURCE_IN_FORCE)
                    .with(EventField.RESOURCE, resource.id())
                    .with(EventField.VERSION, resource.version())
                    .info();
        }
        if (!changed.isEmpty()) {
            mListeners.forEach(ViewListener::onViewChanged);
        }
    }

    /**
     * Replaces the instance list if the given one is newer.
     *
     * @param document the list as the platform wrote it, not null
     * @return true if the list was replaced; false if it is not newer or cannot be decoded
     */
    public boolean mergeInstanceList(byte[] document) {
        Either<Failure, InstanceList> decoded = InstanceListReader.decode(document);
        if (decoded.isLeft()) {
            return false;
        }
        synchronized (mLock) {
            if (decoded.get().version() <= mInstanceList.version()) {
                return false;
            }
            mInstanceList = decoded.get();
            mInstanceListDocument = document.clone();
        }
        mListeners.forEach(ViewListener::onViewChanged);
        return true;
    }

    /**
     * Returns the revision up to which no resource is missing.
     *
     * @return the revision, 0 before the first complete read
     */
    public long completeVersion() {
        return mCompleteVersion;
    }

    /**
     * Returns the highest known version; versions below it may be missing.
     *
     * @return the revision, 0 before the first read
     */
    public long highestVersion() {
        return mHighestVersion;
    }

    /**
     * Returns an active service.
     *
     * @param name the service, not null
     * @return the service, none if it is not declared
     */
    public Option<ServiceSpec> service(ServiceName name) {
        return Option.of(mServices.get(name));
    }

    /**
     * Returns an active team.
     *
     * @param name the team, not null
     * @return the team, none if it is not declared
     */
    public Option<TeamSpec> team(TeamName name) {
        return Option.of(mTeams.get(name));
    }

    /**
     * Returns every active service.
     *
     * @return an unmodifiable map, never null
     */
    public Map<ServiceName, ServiceSpec> services() {
        return mServices;
    }

    /**
     * Returns every active team.
     *
     * @return an unmodifiable map, never null
     */
    public Map<TeamName, TeamSpec> teams() {
        return mTeams;
    }

    /**
     * Returns the instance list.
     *
     * @return the list, never null
     */
    public InstanceList instanceList() {
        return mInstanceList;
    }

    /**
     * Returns the instance list as the platform wrote it.
     *
     * @return the document, empty if none was read
     */
    public byte[] instanceListDocument() {
        return mInstanceListDocument.clone();
    }

    /**
     * Returns the active version of a resource.
     *
     * @param id the id of the resource, not null
     * @return the version, none if there is none
     */
    public Option<Resource> find(ResourceId id) {
        synchronized (mLock) {
            return mConfiguration.find(id);
        }
    }

    /**
     * Returns the versions that are newer than a revision.
     *
     * @param version the revision, 0 for all
     * @return the versions, never null
     */
    public List<Resource> newerThan(long version) {
        synchronized (mLock) {
            return mConfiguration.newerThan(version);
        }
    }

    /**
     * Waits until a version newer than a revision is active.
     *
     * @param version the revision
     * @param milliseconds the maximum wait in milliseconds
     * @return the newer versions, empty if the time ran out
     * @throws InterruptedException if the thread is interrupted
     */
    public List<Resource> awaitNewerThan(long version, long milliseconds)
            throws InterruptedException {
        long endNanos = System.nanoTime() + milliseconds * 1_000_000L;
        synchronized (mLock) {
            while (true) {
                List<Resource> newer = mConfiguration.newerThan(version);
                long leftMilliseconds = (endNanos - System.nanoTime()) / 1_000_000L;
                if (!newer.isEmpty() || leftMilliseconds <= 0) {
                    return newer;
                }
                mLock.wait(leftMilliseconds);
            }
        }
    }

    private void decodeResources() {
        Map<ServiceName, ServiceSpec> services = new TreeMap<>();
        Map<TeamName, TeamSpec> teams = new TreeMap<>();
        for (Resource resource : mConfiguration.newerThan(0)) {
            if (ResourceDocuments.isWithdrawn(resource.document())) {
                continue;
            }
            if (resource.id().kind() == ResourceKind.SERVICE) {
                ResourceDocuments.readService(resource.document())
                        .peek(spec -> services.put(ServiceName.of(resource.id().name()), spec))
                        .peekLeft(failure -> logInvalid(resource, failure));
            } else {
                ResourceDocuments.readTeam(resource.document())
                        .peek(spec -> teams.put(TeamName.of(resource.id().name()), spec))
                        .peekLeft(failure -> logInvalid(resource, failure));
            }
        }
        mServices = Map.copyOf(services);
        mTeams = Map.copyOf(teams);
    }

    private void logInvalid(Resource resource, Failure failure) {
        mLog.event(EventName.RESOURCE_INVALID)
                .with(EventField.RESOURCE, resource.id())
                .with(EventField.VERSION, resource.version())
                .with(EventField.DETAIL, failure.detail())
                .warn();
    }
}
