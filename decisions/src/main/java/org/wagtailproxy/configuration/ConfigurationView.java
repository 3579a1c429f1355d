package org.wagtailproxy.configuration;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The versions in force on one instance; a version never gives way to an older one.
 *
 * <p>Not safe for use by several threads; the owner holds a lock.
 */
public final class ConfigurationView {

    private final Map<ResourceId, Resource> mResources = new TreeMap<>();
    private long mCompleteVersion;
    private long mHighestVersion;

    private ConfigurationView() {}

    /**
     * Creates an empty view.
     *
     * @return the view, never null
     */
    public static ConfigurationView of() {
        return new ConfigurationView();
    }

    /**
     * Takes over one version if it is newer than the one in force.
     *
     * @param resource the version, not null
     * @return true if it is in force now and was not before
     */
    public boolean merge(Resource resource) {
        Resource current = mResources.get(resource.id());
        if (current != null && current.version() >= resource.version()) {
            return false;
        }
        mResources.put(resource.id(), resource);
        mHighestVersion = Math.max(mHighestVersion, resource.version());
        return true;
    }

    /**
     * Takes over a set of versions that lacks nothing up to a revision.
     *
     * @param resources the versions, not null
     * @param completeVersion the revision up to which nothing is missing, 0 or more
     * @return the versions that came into force, never null
     */
    public List<Resource> mergeComplete(Collection<Resource> resources, long completeVersion) {
        List<Resource> changed = new ArrayList<>();
        for (Resource resource : resources) {
            if (merge(resource)) {
                changed.add(resource);
            }
        }
        mCompleteVersion = Math.max(mCompleteVersion, completeVersion);
        return changed;
    }

    /**
     * Returns the revision up to which nothing is missing.
     *
     * @return the revision, 0 if nothing was ever read
     */
    public long completeVersion() {
        return mCompleteVersion;
    }

    /**
     * Returns the highest version held, whether or not something below it is missing.
     *
     * @return the revision, 0 if nothing was ever read
     */
    public long highestVersion() {
        return Math.max(mCompleteVersion, mHighestVersion);
    }

    /**
     * Returns the version of a resource that is in force.
     *
     * @param id which resource, not null
     * @return the version, none if there is none
     */
    public Option<Resource> find(ResourceId id) {
        return Option.of(mResources.get(id));
    }

    /**
     * Returns the versions that are newer than a revision.
     *
     * @param version the revision, 0 for all
     * @return the versions in the order of their ids, never null
     */
    public List<Resource> newerThan(long version) {
        return mResources.values().stream().filter(each -> each.version() > version).toList();
    }
}
