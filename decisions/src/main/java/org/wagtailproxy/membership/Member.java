package org.wagtailproxy.membership;

import java.util.Objects;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.Incarnation;

/**
 * Represents one incarnation of an instance.
 *
 * @param incarnation its incarnation, not null
 * @param dataCentre the data centre in which it runs, not null
 * @param peerAddress the address on which other instances reach it, not null
 * @param callerAddress the address on which callers reach it, not null
 * @param leaving true if it is stopping
 */
public record Member(
        Incarnation incarnation,
        DataCentre dataCentre,
        HostAddress peerAddress,
        HostAddress callerAddress,
        boolean leaving) {

    /** Validates the components. */
    public Member {
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(callerAddress, "callerAddress");
    }

    /**
     * Creates a member that is not leaving.
     *
     * @param incarnation its incarnation, not null
     * @param dataCentre the data centre in which it runs, not null
     * @param peerAddress the address on which other instances reach it, not null
     * @param callerAddress the address on which callers reach it, not null
     * @return the member, never null
     */
    public static Member of(
            Incarnation incarnation,
            DataCentre dataCentre,
            HostAddress peerAddress,
            HostAddress callerAddress) {
        return new Member(incarnation, dataCentre, peerAddress, callerAddress, false);
    }

    /**
     * Marks the member as stopping.
     *
     * @return the member as leaving, never null
     */
    public Member asLeaving() {
        return new Member(incarnation, dataCentre, peerAddress, callerAddress, true);
    }
}
