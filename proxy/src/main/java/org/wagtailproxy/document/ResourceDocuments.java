package org.wagtailproxy.document;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Set;
import org.wagtailproxy.configuration.Objective;
import org.wagtailproxy.configuration.Resource;
import org.wagtailproxy.configuration.ResourceId;
import org.wagtailproxy.configuration.ResourceKind;
import org.wagtailproxy.configuration.ServiceSpec;
import org.wagtailproxy.configuration.TeamSpec;
import org.wagtailproxy.dispatch.DispatchTuning;
import org.wagtailproxy.dispatch.PolicyKind;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;

/**
 * Reads and writes declared resources.
 *
 * <p>The store contains each resource in an envelope: a JSON object with the specification and the
 * id of the write. An envelope without a specification marks a withdrawn resource.
 */
public final class ResourceDocuments {

    private static final Set<String> SERVICE_FIELDS =
            Set.of(
                    "policy",
                    "queueLimit",
                    "patience",
                    "remotePenalty",
                    "overcommitPercent",
                    "taskTimeoutMilliseconds",
                    "queueTimeoutMilliseconds",
                    "maximumDeclaredMilliseconds",
                    "objectiveMilliseconds",
                    "objectivePerMille");
    private static final Set<String> TEAM_FIELDS = Set.of("quota", "weight", "queueLimit");
    private static final int DEFAULT_QUEUE_LIMIT = 10_000;
    private static final double DEFAULT_PATIENCE = 1;
    private static final double DEFAULT_REMOTE_PENALTY = 0.1;
    private static final int DEFAULT_TASK_TIMEOUT_MILLISECONDS = 20_000;
    private static final int DEFAULT_QUEUE_TIMEOUT_MILLISECONDS = 30_000;
    private static final int DEFAULT_MAXIMUM_DECLARED_MILLISECONDS = 10_000;
    private static final int DEFAULT_OBJECTIVE_MILLISECONDS = 2_000;
    private static final int DEFAULT_OBJECTIVE_PER_MILLE = 990;
    private static final int MAX_MILLISECONDS = 600_000;
    private static final int MAX_COUNT = 1_000_000;
    private static final int DEFAULT_QUEUED_TASKS_PER_QUOTA = 40;

    private ResourceDocuments() {}

    /**
     * Validates the specification of a resource.
     *
     * @param id the id of the resource, not null
     * @param spec the specification in UTF-8, not null
     * @return the specification, or the reason why it is invalid
     */
    public static Either<Failure, JsonNode> check(ResourceId id, byte[] spec) {
        return Json.parseFromCaller(spec)
                .flatMap(
                        node ->
                                id.kind() == ResourceKind.SERVICE
                                        ? readService(node).map(valid -> node)
                                        : readTeam(node).map(valid -> node));
    }

    /**
     * Wraps a specification in an envelope for the store.
     *
     * @param spec the specification, null for a withdrawn resource
     * @param writeId identifies the write, so that the writer recognises it after its answer was
     *     lost, not null
     * @return the envelope, never null
     */
    public static String envelope(JsonNode spec, String writeId) {
        ObjectNode node = Json.object();
        node.put("writeId", writeId);
        if (spec != null) {
            node.set("spec", spec);
        }
        return new String(Json.bytes(node), StandardCharsets.UTF_8);
    }

    /**
     * Returns the write id of an envelope.
     *
     * @param document the envelope, not null
     * @return the write id, empty if the envelope cannot be read
     */
    public static String writeId(String document) {
        return parse(document).map(node -> node.path("writeId").asText("")).getOrElse("");
    }

    /**
     * Checks whether an envelope contains no specification.
     *
     * @param document the envelope, not null
     * @return true if the resource is withdrawn or the envelope cannot be read
     */
    public static boolean isWithdrawn(String document) {
        return parse(document).map(node -> !node.has("spec")).getOrElse(true);
    }

    /**
     * Reads a service from its envelope.
     *
     * @param document the envelope, not null
     * @return the service, or the reason why the specification is invalid
     */
    public static Either<Failure, ServiceSpec> readService(String document) {
        return parse(document).flatMap(node -> readService(node.path("spec")));
    }

    /**
     * Reads a team from its envelope.
     *
     * @param document the envelope, not null
     * @return the team, or the reason why the specification is invalid
     */
    public static Either<Failure, TeamSpec> readTeam(String document) {
        return parse(document).flatMap(node -> readTeam(node.path("spec")));
    }

    /**
     * Writes a version of a resource as a document for operators.
     *
     * @param resource the version of the resource, not null
     * @return the document, never null
     */
    public static ObjectNode write(Resource resource) {
        ObjectNode node = Json.object();
        node.put("kind", resource.id().kind().externalName());
        node.put("name", resource.id().name());
        node.put("resourceVersion", resource.version());
        JsonNode spec =
                parse(resource.document()).map(each -> each.path("spec")).getOrElse(Json.object());
        if (spec.isObject()) {
            node.set("spec", spec);
        } else {
            node.put("withdrawn", true);
        }
        return node;
    }

    private static Either<Failure, JsonNode> parse(String document) {
        return Json.parse(document.getBytes(StandardCharsets.UTF_8));
    }

    private static Either<Failure, ServiceSpec> readService(JsonNode node) {
        Either<Failure, JsonNode> known = JobDocuments.checkFields(node, SERVICE_FIELDS);
        if (known.isLeft()) {
            return invalid(known.getLeft().detail());
        }
        FieldReader fields = FieldReader.of(node);
        String policy = node.path("policy").asText("expected-completion");
        PolicyKind kind = parsePolicy(policy);
        if (kind == null) {
            return invalid("policy must be round-robin, two-random or expected-completion");
        }
        int queueLimit = fields.integer("queueLimit", DEFAULT_QUEUE_LIMIT, 1, MAX_COUNT);
        double patience = fields.decimal("patience", DEFAULT_PATIENCE, 0, 1);
        double penalty = fields.decimal("remotePenalty", DEFAULT_REMOTE_PENALTY, 0, 100);
        int overcommit = fields.integer("overcommitPercent", 0, 0, 100);
        Duration task =
                readMilliseconds(
                        fields, "taskTimeoutMilliseconds", DEFAULT_TASK_TIMEOUT_MILLISECONDS);
        Duration queue =
                readMilliseconds(
                        fields, "queueTimeoutMilliseconds", DEFAULT_QUEUE_TIMEOUT_MILLISECONDS);
        int defaultDeclared =
                (int) Math.min(DEFAULT_MAXIMUM_DECLARED_MILLISECONDS, task.toMillis());
        Duration declared =
                readMilliseconds(fields, "maximumDeclaredMilliseconds", defaultDeclared);
        int latency =
                fields.integer(
                        "objectiveMilliseconds",
                        DEFAULT_OBJECTIVE_MILLISECONDS,
                        1,
                        MAX_MILLISECONDS);
        int target = fields.integer("objectivePerMille", DEFAULT_OBJECTIVE_PER_MILLE, 1, 999);
        if (fields.problem().isPresent()) {
            return invalid(fields.problem().get());
        }
        if (declared.compareTo(task) > 0) {
            return invalid("maximumDeclaredMilliseconds is above taskTimeoutMilliseconds");
        }
        DispatchTuning tuning = DispatchTuning.of(kind, queueLimit, patience, penalty, overcommit);
        return Either.right(
                ServiceSpec.of(tuning, task, queue, declared, Objective.of(latency, target)));
    }

    private static Either<Failure, TeamSpec> readTeam(JsonNode node) {
        Either<Failure, JsonNode> known = JobDocuments.checkFields(node, TEAM_FIELDS);
        if (known.isLeft()) {
            return invalid(known.getLeft().detail());
        }
        if (!node.path("quota").isIntegralNumber()) {
            return invalid("quota is required");
        }
        FieldReader fields = FieldReader.of(node);
        int quota = fields.integer("quota", 1, 1, MAX_COUNT);
        int weight = fields.integer("weight", 1, 1, 1000);
        long queued = Math.min(MAX_COUNT, (long) quota * DEFAULT_QUEUED_TASKS_PER_QUOTA);
        int queueLimit = fields.integer("queueLimit", (int) queued, 1, MAX_COUNT);
        if (fields.problem().isPresent()) {
            return invalid(fields.problem().get());
        }
        return Either.right(TeamSpec.of(quota, weight, queueLimit));
    }

    private static PolicyKind parsePolicy(String name) {
        for (PolicyKind kind : PolicyKind.values()) {
            if (kind.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(name)) {
                return kind;
            }
        }
        return null;
    }

    private static Duration readMilliseconds(FieldReader fields, String name, int defaultValue) {
        return Duration.ofMillis(fields.integer(name, defaultValue, 1, MAX_MILLISECONDS));
    }

    private static <T> Either<Failure, T> invalid(String detail) {
        return Either.left(Failure.of(FailureKind.INVALID_RESOURCE, detail));
    }
}
