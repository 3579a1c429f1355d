package org.wagtailproxy.leadership;

import java.util.Objects;
import org.wagtailproxy.identity.Incarnation;

/**
 * Identifies the process that has submitted a job: one process of an instance, which may be
 * replaced by another one of the same name.
 *
 * @param name the name of the instance, not null
 * @param incarnation the process, {@link #UNKNOWN_INCARNATION} if it does not report it; not null
 */
public record HomeProcess(InstanceName name, Incarnation incarnation) {

    /** The incarnation of a process of an earlier build. */
    public static final Incarnation UNKNOWN_INCARNATION = Incarnation.of(0, 0);

    /** Validates the components. */
    public HomeProcess {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(incarnation, "incarnation");
    }

    @Override
    public String toString() {
        return name.toString();
    }
}
