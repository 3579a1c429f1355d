package org.wagtailproxy.membership;

import java.time.Duration;
import java.util.Objects;

/**
 * How long silence is borne. Ends are withheld well before anyone may seal.
 *
 * @param withhold silence after which an instance publishes no more ends
 * @param seal silence and absence from the list after which a neighbour may be sealed, at least
 *     twice {@code withhold}
 * @param remoteSeal the same for instances of another data centre, longer than {@code seal}
 */
public record MembershipTiming(Duration withhold, Duration seal, Duration remoteSeal) {

    /** Checks the components. */
    public MembershipTiming {
        Objects.requireNonNull(withhold, "withhold");
        if (seal.compareTo(withhold.multipliedBy(2)) < 0 || remoteSeal.compareTo(seal) < 0) {
            throw new IllegalArgumentException("seal < 2 withhold or remoteSeal < seal");
        }
    }

    /**
     * Creates a timing.
     *
     * @param withhold silence before ends are withheld
     * @param seal silence before a neighbour may be sealed
     * @param remoteSeal silence before an instance elsewhere may be sealed
     * @return the timing, never null
     * @throws IllegalArgumentException if the order does not hold
     */
    public static MembershipTiming of(Duration withhold, Duration seal, Duration remoteSeal) {
        return new MembershipTiming(withhold, seal, remoteSeal);
    }
}
