package org.wagtailproxy.configuration;

import io.vavr.control.Option;
import java.util.Locale;

/** Lists the kinds of resources that operators declare. */
public enum ResourceKind {
    /** The dispatch settings, timeouts and objective of one service. */
    SERVICE,
    /** The quota and weight of one team. */
    TEAM;

    /**
     * Returns the name used in URL paths, store keys and documents.
     *
     * @return the lower-case name, never null
     */
    public String externalName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the kind with an external name.
     *
     * @param externalName the external name, may be null
     * @return the kind, none if there is no such kind
     */
    public static Option<ResourceKind> parse(String externalName) {
        for (ResourceKind kind : values()) {
            if (kind.externalName().equals(externalName)) {
                return Option.some(kind);
            }
        }
        return Option.none();
    }
}
