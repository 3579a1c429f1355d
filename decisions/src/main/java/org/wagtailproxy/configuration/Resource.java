package org.wagtailproxy.configuration;

import java.util.Objects;

/**
 * Represents one version of a declared resource.
 *
 * @param id the id of the resource, not null
 * @param version the store's revision of this version, 1 or more
 * @param document the stored envelope as JSON text, not null
 */
public record Resource(ResourceId id, long version, String document) {

    /** Validates the components. */
    public Resource {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(document, "document");
        if (version < 1) {
            throw new IllegalArgumentException("version is below 1");
        }
    }

    /**
     * Creates a version.
     *
     * @param id the id of the resource, not null
     * @param version the store's revision, 1 or more
     * @param document the stored envelope, not null
     * @return the version, never null
     */
    public static Resource of(ResourceId id, long version, String document) {
        return new Resource(id, version, document);
    }
}
