package org.wagtailproxy.job;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.identity.TeamName;

/**
 * Represents a job as submitted: a limited set of tasks with a purpose.
 *
 * @param service the service that runs the tasks, not null
 * @param team the team whose quota they use, not null
 * @param purpose the purpose of the job, not null
 * @param idempotent true if a task may be started again after an unknown outcome; true only for a
 *     single request outside a job
 * @param tasks the tasks, 1 to {@link #MAX_TASKS}
 */
public record JobSpec(
        ServiceName service,
        TeamName team,
        String purpose,
        boolean idempotent,
        List<TaskSpec> tasks) {

    /** Maximum number of tasks in one job. */
    public static final int MAX_TASKS = 940;

    private static final char FIELD_END = '\u001f';

    /** Validates and copies the components. */
    public JobSpec {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(purpose, "purpose");
        tasks = List.copyOf(tasks);
        if (tasks.isEmpty() || tasks.size() > MAX_TASKS) {
            throw new IllegalArgumentException("a job has 1 to " + MAX_TASKS + " tasks");
        }
    }

    /**
     * Creates a job of tasks that each start at most once.
     *
     * @param service the service, not null
     * @param team the team, not null
     * @param purpose the purpose, not null
     * @param tasks the tasks, 1 to {@link #MAX_TASKS}
     * @return the job, never null
     */
    public static JobSpec of(
            ServiceName service, TeamName team, String purpose, List<TaskSpec> tasks) {
        return new JobSpec(service, team, purpose, false, tasks);
    }

    /**
     * Computes the digest of the canonical form.
     *
     * @return the digest, equal for equal content
     */
    public ContentDigest digest() {
        StringBuilder canonical = new StringBuilder();
        append(canonical, service.value());
        append(canonical, team.value());
        append(canonical, purpose);
        append(canonical, Boolean.toString(idempotent));
        for (TaskSpec task : tasks) {
            append(canonical, task.key());
            append(canonical, task.payload());
            append(canonical, Long.toString(task.declaredMilliseconds()));
        }
        return ContentDigest.of(canonical.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static void append(StringBuilder canonical, String field) {
        canonical.append(field.length()).append(':').append(field).append(FIELD_END);
    }
}
