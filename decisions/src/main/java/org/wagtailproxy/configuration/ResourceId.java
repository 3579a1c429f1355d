package org.wagtailproxy.configuration;

import java.util.Objects;
import org.wagtailproxy.identity.Names;

/**
 * Identifies a declared resource.
 *
 * @param kind the kind, not null
 * @param name a valid name
 */
public record ResourceId(ResourceKind kind, String name) implements Comparable<ResourceId> {

    /** Validates the components. */
    public ResourceId {
        Objects.requireNonNull(kind, "kind");
        Names.checkName(name);
    }

    /**
     * Creates an id.
     *
     * @param kind the kind, not null
     * @param name a valid name
     * @return the id, never null
     */
    public static ResourceId of(ResourceKind kind, String name) {
        return new ResourceId(kind, name);
    }

    @Override
    public int compareTo(ResourceId other) {
        int order = kind.compareTo(other.kind);
        return order != 0 ? order : name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return kind.externalName() + "/" + name;
    }
}
