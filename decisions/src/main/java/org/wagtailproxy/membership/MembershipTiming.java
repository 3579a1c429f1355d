package org.wagtailproxy.membership;

import java.time.Duration;
import java.util.Objects;

/**
 * Specifies the times without contact after which an instance withholds ends and after which it may
 * be sealed. An instance withholds its ends well before another one may seal it.
 *
 * @param withhold time without proof of not being sealed after which an instance withholds ends
 * @param seal time without contact and of absence from the platform's list after which a neighbour
 *     may be sealed, at least twice {@code withhold}
 * @param remoteSeal the same for instances of another data centre, at least {@code seal}
 */
public record MembershipTiming(Duration withhold, Duration seal, Duration remoteSeal) {

    /** Validates the components. */
    public MembershipTiming {
        Objects.requireNonNull(withhold, "withhold");
        if (seal.compareTo(withhold.multipliedBy(2)) < 0 || remoteSeal.compareTo(seal) < 0) {
            throw new IllegalArgumentException("seal < 2 withhold or remoteSeal < seal");
        }
    }

    /**
     * Creates a timing.
     *
     * @param withhold time without proof after which ends are withheld
     * @param seal time after which a neighbour may be sealed
     * @param remoteSeal time after which an instance of another data centre may be sealed
     * @return the timing, never null
     * @throws IllegalArgumentException if {@code seal} is shorter than twice {@code withhold} or
     *     {@code remoteSeal} is shorter than {@code seal}
     */
    public static MembershipTiming of(Duration withhold, Duration seal, Duration remoteSeal) {
        return new MembershipTiming(withhold, seal, remoteSeal);
    }
}
