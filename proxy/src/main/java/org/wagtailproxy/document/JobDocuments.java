package org.wagtailproxy.document;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.identity.TeamName;
import org.wagtailproxy.job.JobSpec;
import org.wagtailproxy.job.JobState;
import org.wagtailproxy.job.JobTracker;
import org.wagtailproxy.job.TaskEvent;
import org.wagtailproxy.job.TaskSpec;

/** Reads submitted jobs and writes their status, result and trace. */
public final class JobDocuments {

    private static final Set<String> JOB_FIELDS = Set.of("service", "team", "purpose", "tasks");
    private static final Set<String> TASK_FIELDS = Set.of("key", "payload", "declaredMilliseconds");
    private static final int MAX_PURPOSE_LENGTH = 500;
    private static final long MAX_DECLARED_MILLISECONDS = 86_400_000;

    private JobDocuments() {}

    /**
     * Reads a submitted job.
     *
     * @param body the document in UTF-8, not null
     * @return the specification of the job, or the reason why it is invalid
     */
    public static Either<Failure, JobSpec> readJob(byte[] body) {
        return Json.parseFromCaller(body).flatMap(JobDocuments::readJob);
    }

    private static Either<Failure, JobSpec> readJob(JsonNode node) {
        Either<Failure, JsonNode> known = checkFields(node, JOB_FIELDS);
        if (known.isLeft()) {
            return Either.left(known.getLeft());
        }
        String service = node.path("service").asText("");
        String team = node.path("team").asText("");
        String purpose = node.path("purpose").asText("");
        JsonNode tasks = node.path("tasks");
        if (!Names.isName(service) || !Names.isName(team)) {
            return Either.left(Json.malformed("service and team must be names"));
        }
        if (purpose.isBlank() || purpose.length() > MAX_PURPOSE_LENGTH) {
            return Either.left(Json.malformed("purpose must have 1 to 500 characters"));
        }
        if (!tasks.isArray() || tasks.isEmpty()) {
            return Either.left(Json.malformed("tasks must be an array of at least one task"));
        }
        if (tasks.size() > JobSpec.MAX_TASKS) {
            String detail = tasks.size() + " tasks; at most " + JobSpec.MAX_TASKS;
            return Either.left(Failure.of(FailureKind.TOO_MANY_TASKS, detail));
        }
        return readTasks(tasks)
                .map(list -> JobSpec.of(ServiceName.of(service), TeamName.of(team), purpose, list));
    }

    private static Either<Failure, List<TaskSpec>> readTasks(JsonNode tasks) {
        List<TaskSpec> list = new ArrayList<>(tasks.size());
        Set<String> keys = new HashSet<>();
        for (JsonNode task : tasks) {
            Either<Failure, TaskSpec> read = readTask(task);
            if (read.isLeft()) {
                return Either.left(read.getLeft());
            }
            if (!keys.add(read.get().key())) {
                return Either.left(Json.malformed("task key given twice: " + read.get().key()));
            }
            list.add(read.get());
        }
        return Either.right(list);
    }

    private static Either<Failure, TaskSpec> readTask(JsonNode task) {
        if (!task.isObject()) {
            return Either.left(Json.malformed("a task must be an object"));
        }
        Either<Failure, JsonNode> known = checkFields(task, TASK_FIELDS);
        if (known.isLeft()) {
            return Either.left(known.getLeft());
        }
        String key = task.path("key").asText("");
        JsonNode declared = task.path("declaredMilliseconds");
        if (!Names.isName(key) || !task.path("payload").isTextual()) {
            return Either.left(Json.malformed("a task needs a key and a textual payload"));
        }
        if (declared.isMissingNode()) {
            return Either.right(
                    TaskSpec.of(
                            key,
                            task.path("payload").asText(),
                            TaskSpec.DEFAULT_DECLARED_MILLISECONDS));
        }
        boolean inRange =
                declared.isIntegralNumber()
                        && declared.canConvertToLong()
                        && declared.asLong() >= 1
                        && declared.asLong() <= MAX_DECLARED_MILLISECONDS;
        if (!inRange) {
            return Either.left(Json.malformed("declaredMilliseconds must be 1 to 86400000"));
        }
        return Either.right(TaskSpec.of(key, task.path("payload").asText(), declared.asLong()));
    }

    static Either<Failure, JsonNode> checkFields(JsonNode node, Set<String> known) {
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!known.contains(name)) {
                return Either.left(Json.malformed("unknown field: " + shorten(name)));
            }
        }
        return Either.right(node);
    }

    /**
     * Writes the status and result of a job. Answers of tasks are included only if the visible
     * state is complete.
     *
     * @param job the job, not null
     * @param visible the state that is shown to callers, not null
     * @return the document in UTF-8, never null
     */
    public static byte[] writeJob(JobTracker job, JobState visible) {
        ObjectNode node = header(job.name(), visible);
        node.put("service", job.spec().service().value());
        node.put("team", job.spec().team().value());
        node.put("purpose", job.spec().purpose());
        node.put("openTasks", job.openTasks());
        if (visible == JobState.FAILED) {
            job.failure().forEach(failure -> node.set("failure", Problems.node(failure)));
        }
        if (visible == JobState.RUNNING) {
            return Json.bytes(node);
        }
        ArrayNode tasks = node.putArray("tasks");
        for (int index = 0; index < job.spec().tasks().size(); index++) {
            ObjectNode task = tasks.addObject();
            task.put("key", job.spec().tasks().get(index).key());
            task.put("state", job.taskState(index).externalName());
            if (visible == JobState.COMPLETE) {
                task.put("answer", job.answer(index).get());
            }
        }
        return Json.bytes(node);
    }

    /**
     * Writes the trace of a job: the events of each task.
     *
     * @param job the job, not null
     * @param visible the state that is shown to callers, not null
     * @return the document in UTF-8, never null
     */
    public static byte[] writeTrace(JobTracker job, JobState visible) {
        ObjectNode node = header(job.name(), visible);
        ArrayNode tasks = node.putArray("tasks");
        for (int index = 0; index < job.spec().tasks().size(); index++) {
            ObjectNode task = tasks.addObject();
            task.put("key", job.spec().tasks().get(index).key());
            task.put("state", job.taskState(index).externalName());
            ArrayNode events = task.putArray("events");
            append(events, TaskEvent.of(0, TaskEvent.Kind.ACCEPTED, "", ""));
            job.events(index).forEach(event -> append(events, event));
        }
        return Json.bytes(node);
    }

    /**
     * Writes the result of a failed job whose home instance was lost.
     *
     * @param name the name of the job, not null
     * @param failure the reason for the failure, not null
     * @return the document in UTF-8, never null
     */
    public static byte[] writeLostJob(JobName name, Failure failure) {
        ObjectNode node = header(name, JobState.FAILED);
        node.set("failure", Problems.node(failure));
        node.putArray("tasks");
        return Json.bytes(node);
    }

    private static ObjectNode header(JobName name, JobState visible) {
        ObjectNode node = Json.object();
        node.put("name", name.toString());
        node.put("state", visible.externalName());
        return node;
    }

    private static void append(ArrayNode events, TaskEvent event) {
        ObjectNode node = events.addObject();
        node.put("atMilliseconds", event.atMilliseconds());
        node.put("event", event.kind().name().toLowerCase(Locale.ROOT).replace('_', '-'));
        if (!event.backendServer().isEmpty()) {
            node.put("backendServer", event.backendServer());
        }
        if (!event.reason().isEmpty()) {
            node.put("reason", event.reason());
        }
    }

    private static String shorten(String name) {
        return name.length() > 40 ? name.substring(0, 40) : name;
    }
}
