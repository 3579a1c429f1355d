package org.wagtailproxy.membership;

import io.vavr.control.Option;
import java.util.Objects;
import org.wagtailproxy.identity.Incarnation;

/**
 * Represents the irrevocable record that an incarnation no longer has authority over its jobs.
 *
 * @param incarnation the incarnation, not null
 * @param kind the reason, not null
 * @param successor the member that took over its jobs, none if there is none
 */
public record Seal(Incarnation incarnation, SealKind kind, Option<Member> successor) {

    /** Validates the components. */
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
     * @param successor the member that took over its jobs, not null
     * @return the seal, never null
     */
    public static Seal handedOver(Incarnation incarnation, Member successor) {
        return new Seal(incarnation, SealKind.HANDED_OVER, Option.some(successor));
    }
}
