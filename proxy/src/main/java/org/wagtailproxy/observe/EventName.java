package org.wagtailproxy.observe;

import java.util.Locale;

/**
 * Identifies the events of the event log.
 *
 * <p>An event is logged under its name in lower case with hyphens. Some names differ from the terms
 * of the code, because operators' tools match them: "kept" stored jobs are coordinated by this
 * instance, "given up" means no longer coordinated, "passed on" means submitted to the leader, a
 * "look" is a poll of a backend server, and "in force" means active.
 */
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
    /** The end of a job, its final result, may not be published to callers yet. */
    END_WITHHELD,
    /** A new version of a resource is active ("in force"). */
    RESOURCE_IN_FORCE,
    /** A stored resource cannot be read and is ignored. */
    RESOURCE_INVALID,
    /** The platform has become reachable. */
    PLATFORM_REACHED,
    /** The platform has become unreachable. */
    PLATFORM_LOST,
    /** A peer has become reachable. */
    PEER_REACHED,
    /** A peer has become unreachable. */
    PEER_LOST,
    /** An incarnation was sealed. */
    SEALED,
    /** Authority over an incarnation was handed over to another instance. */
    HANDED_OVER,
    /** Authority over an incarnation was taken over from another instance. */
    TAKEN_OVER,
    /**
     * No other instance is known to have taken over the authority of this instance at its planned
     * stop.
     */
    HAND_OVER_FAILED,
    /** A job was submitted to the leader ("passed on"). */
    JOB_PASSED_ON,
    /** A job was forwarded to another data centre because of insufficient capacity here. */
    JOB_FORWARDED,
    /** A job lost its leader and is submitted to another one. */
    JOB_MOVED,
    /** A submission was held up on its way and is answered without an effect. */
    SUBMISSION_OUTDATED,
    /** Tasks of a job that an earlier leader may have started may be placed. */
    INHERITED_JOB_RELEASED,
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
    /** This instance has become the coordinator of the stored jobs ("keeps" them). */
    JOBS_KEPT,
    /** This instance is no longer the coordinator of the stored jobs ("gives them up"). */
    JOBS_GIVEN_UP,
    /** The group that this instance leads has become a majority, or no longer is one. */
    MAJORITY_CHANGED,
    /**
     * What shows that this instance alone coordinates the stored jobs has changed: the store, the
     * support of electors, or nothing.
     */
    COORDINATION_CHANGED,
    /** No coordinator before this instance starts tasks of stored jobs any more. */
    FORMER_COORDINATOR_ENDED,
    /** A new state of a stored job was written to the store. */
    JOB_SAVED,
    /** A backend server did not confirm the start of a task. */
    START_FAILED,
    /** A poll ("look") of a backend server failed. */
    LOOK_FAILED,
    /** A backend server lists the end of a stored job's run that an earlier leader started. */
    END_FOUND,
    /**
     * The lease of a backend server is not extended until it has expired, because the server holds
     * runs or ends of stored jobs that this instance may not save.
     */
    LEASE_WITHHELD,
    /** Tasks wait until the store has confirmed the list of backend servers, or no longer do. */
    PLACEMENT_CHANGED,
    /** The directory says of a backend server that it is draining. */
    SERVER_DRAINING,
    /** A backend server has started again under its id. */
    SERVER_RESTARTED,
    /** A backend server has accepted the fencing token of this instance. */
    SERVER_HELD,
    /** This instance no longer sends commands to a backend server. */
    SERVER_RELEASED,
    /** This instance follows another instance as its leader. */
    LEADER_FOLLOWED,
    /** The fleet was divided into a pool for each data centre, or merged. */
    POOL_CHANGED,
    /** This instance cannot keep up with its work, or can again. */
    INSTANCE_OVERLOADED,
    /** A version of the configuration has become active ("in force"). */
    CONFIGURATION_IN_FORCE,
    /** The backend servers of a data centre get no new tasks from now on. */
    EVACUATION_STARTED,
    /** The backend servers of a data centre get tasks again. */
    EVACUATION_ENDED,
    /** An entry of the store cannot be read and is ignored. */
    ENTRY_UNREADABLE,
    /** Clients were refused or disconnected because of a limit. */
    CLIENTS_LIMITED,
    /** The settings were reloaded. */
    SETTINGS_RELOADED,
    /** Lines were dropped because the output of the log was not read fast enough. */
    LINES_DROPPED,
    /** A call or a recurring action was ended by a defect. */
    DEFECT;

    /** Returns the name that log lines and metrics contain. */
    String externalName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
