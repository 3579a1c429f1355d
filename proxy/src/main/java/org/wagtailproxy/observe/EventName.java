package org.wagtailproxy.observe;

import java.util.Locale;

/** Identifies the events of the event log. */
public enum EventName {
    /** The instance has started. */
    INSTANCE_STARTED,
    /** A planned stop of the instance has begun. */
    INSTANCE_DRAINING,
    /** The instance has stopped. */
    INSTANCE_STOPPED,
    /** The instance was sealed and has lost its authority. */
    INSTANCE_SEALED,
    /** A job was accepted. */
    JOB_ACCEPTED,
    /** A job was refused. */
    JOB_REFUSED,
    /** A job completed. */
    JOB_COMPLETE,
    /** A job failed. */
    JOB_FAILED,
    /** The end of a job is withheld from callers for now. */
    END_WITHHELD,
    /** A new version of a resource is active. */
    RESOURCE_IN_FORCE,
    /** A stored resource cannot be read and is ignored. */
    RESOURCE_INVALID,
    /** The platform answers again. */
    PLATFORM_REACHED,
    /** The platform no longer answers. */
    PLATFORM_LOST,
    /** A peer answers. */
    PEER_REACHED,
    /** A peer no longer answers. */
    PEER_LOST,
    /** An incarnation was sealed. */
    SEALED,
    /** Authority over an incarnation was handed over to another instance. */
    HANDED_OVER,
    /** Authority over an incarnation was taken over from another instance. */
    TAKEN_OVER,
    /** No instance could take over authority over an incarnation. */
    HAND_OVER_FAILED,
    /** A job was submitted to the leader. */
    JOB_PASSED_ON,
    /** A job was forwarded to another data centre because of insufficient capacity here. */
    JOB_FORWARDED,
    /** A job lost its leader and is submitted to another one. */
    JOB_MOVED,
    /** A job was withdrawn because its caller has disconnected. */
    JOB_WITHDRAWN,
    /** The leader has determined the outcome of a job. */
    JOB_ENDED,
    /** The caller of a job was answered. */
    JOB_ANSWERED,
    /** A task was placed on a backend server. */
    TASK_PLACED,
    /** A run of a task has ended. */
    RUN_ENDED,
    /** This instance has become the coordinator of the stored jobs. */
    JOBS_KEPT,
    /** This instance is no longer the coordinator of the stored jobs. */
    JOBS_GIVEN_UP,
    /** A new state of a stored job was written to the store. */
    JOB_SAVED,
    /** A backend server did not confirm the start of a task. */
    START_FAILED,
    /** A poll of a backend server failed. */
    LOOK_FAILED,
    /** A backend server has accepted the fencing token of this instance. */
    SERVER_HELD,
    /** This instance no longer sends commands to a backend server. */
    SERVER_RELEASED,
    /** This instance follows another instance as its leader. */
    LEADER_FOLLOWED,
    /** A version of the configuration has become active. */
    CONFIGURATION_IN_FORCE,
    /** An entry of the store cannot be read and is ignored. */
    ENTRY_UNREADABLE,
    /** The settings were reloaded. */
    SETTINGS_RELOADED,
    /** Lines were dropped because the output of the log was not read fast enough. */
    LINES_DROPPED,
    /** A call or a recurring action was ended by a defect. */
    DEFECT;

    String externalName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
