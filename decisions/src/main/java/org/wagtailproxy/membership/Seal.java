package org.wagtailproxy.membership;

import io.vavr.control.Option;
import java.util.Objects;
import org.wagtailproxy.identity.Incarnation;

/**
 * The final statement that an incarnation has no authority any more.
 *
 * @param incarnation the incarnation, not null
 * @param kind why, not null
 * @param successor who took over, none if nobody did
 */
public record Seal(Incarnation incarnation, SealKind kind, Option<Member> successor) {

    /** Checks the components. */
    public Seal {
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(successor, "successor");
    }

    /**
     * Creates the seal of an incarnation that is gone.
     *
     * @param incarnation the incarnation, not null
     * @return the seal, never null
     */
    public static Seal lost(Incarnation incarnation) {
        return new Seal(incarnation, SealKind.LOST, Option.none());
    }

    /**
     * Creates the seal of an incarnation that was handed over.
     *
     * @param incarnation the incarnation, not null
     * @param successor who took over, not null
     * @return the seal, never null
     */
    public static Seal handedOver(Incarnation incarnation, Member successor) {
        return new Seal(incarnation, SealKind.HANDED_OVER, Option.some(successor));
    }
}
