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
     * Returns the word used in URL paths and store keys.
     *
     * @return the lower-case word, never null
     */
    public String externalName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Parses the word.
     *
     * @param word the word, may be null
     * @return the kind, none if there is no such kind
     */
    public static Option<ResourceKind> parse(String word) {
        for (ResourceKind kind : values()) {
            if (kind.externalName().equals(word)) {
                return Option.some(kind);
            }
        }
        return Option.none();
    }
}
