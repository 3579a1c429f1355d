package org.wagtailproxy.observe;

import java.util.Locale;

/** Every event that is logged. */
public enum EventName {
    /** The instance serves. */
    INSTANCE_STARTED,
    /** The instance stops as planned. */
    INSTANCE_DRAINING,
    /** The instance has stopped. */
    INSTANCE_STOPPED,
    /** The instance was sealed and gives up its authority. */
    INSTANCE_SEALED,
    /** A job was accepted. */
    JOB_ACCEPTED,
    /** A job was refused. */
    JOB_REFUSED,
    /** A job ended complete. */
    JOB_COMPLETE,
    /** A job ended failed. */
    JOB_FAILED,
    /** An end may not be shown yet. */
    END_WITHHELD,
    /** A new version of a resource is in force. */
    RESOURCE_IN_FORCE,
    /** A stored resource cannot be read and is passed over. */
    RESOURCE_INVALID,
    /** The platform answers again. */
    PLATFORM_REACHED,
    /** The platform does not answer. */
    PLATFORM_LOST,
    /** A peer answers. */
    PEER_REACHED,
    /** A peer does not answer. */
    PEER_LOST,
    /** An incarnation was sealed. */
    SEALED,
    /** An incarnation was handed over. */
    HANDED_OVER,
    /** An incarnation was taken over. */
    TAKEN_OVER,
    /** Nobody could take over. */
    HAND_OVER_FAILED,
    /** A call ended by a defect. */
    DEFECT;

    String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
