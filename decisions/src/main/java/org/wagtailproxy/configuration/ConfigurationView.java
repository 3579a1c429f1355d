package org.wagtailproxy.configuration;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holds the active versions of all resources on one instance. A version is never replaced by an
 * older one.
 *
 * <p>Not thread-safe; the owner synchronizes access.
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
     * Merges one version: it becomes active if it is newer than the active one.
     *
     * @param resource the version, not null
     * @return true if the version became active
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
     * Merges a set of versions that is complete up to a revision.
     *
     * @param resources the versions, not null
     * @param completeVersion the revision up to which the set is complete, 0 or more
     * @return the versions that became active, never null
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
     * Returns the revision up to which the view is complete.
     *
     * @return the revision, 0 if nothing was ever read
     */
    public long completeVersion() {
        return mCompleteVersion;
    }

    /**
     * Returns the highest known version, even if older versions are missing.
     *
     * @return the revision, 0 if nothing was ever read
     */
    public long highestVersion() {
        return Math.max(mCompleteVersion, mHighestVersion);
    }

    /**
     * Returns the active version of a resource.
     *
     * @param id the id of the resource, not null
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
