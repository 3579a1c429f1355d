package org.wagtailproxy.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.wagtailproxy.document.Json;
import org.wagtailproxy.document.Problems;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.home.JobOperation;
import org.wagtailproxy.home.JobReply;
import org.wagtailproxy.home.JobRequest;
import org.wagtailproxy.home.JobRouter;
import org.wagtailproxy.home.JobService;
import org.wagtailproxy.home.OwnedIncarnations;
import org.wagtailproxy.http.HttpCall;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.identity.TeamName;
import org.wagtailproxy.job.JobSpec;
import org.wagtailproxy.job.TaskSpec;
import org.wagtailproxy.lifecycle.Lifecycle;

/** Serves the HTTP routes for callers: sessions, jobs and single requests. */
public final class JobRoutes {

    /** The header that carries a session token on answers. */
    public static final String SESSION_HEADER = "Wagtail-Session";

    private static final long MAX_WAIT_MILLISECONDS = 60_000;
    private static final String JSON = "application/json";

    private final JobRouter mRouter;
    private final JobService mJobs;
    private final OwnedIncarnations mOwnedIncarnations;
    private final Lifecycle mLifecycle;
    private final Random mRandom = new Random();

    private JobRoutes(
            JobRouter router,
            JobService jobs,
            OwnedIncarnations ownedIncarnations,
            Lifecycle lifecycle) {
        mRouter = router;
        mJobs = jobs;
        mOwnedIncarnations = ownedIncarnations;
        mLifecycle = lifecycle;
    }

    /**
     * Creates the routes.
     *
     * @param router routes operations on jobs to their home instances, not null
     * @param jobs runs single requests, not null
     * @param ownedIncarnations issues session tokens, not null
     * @param lifecycle the lifecycle state of the instance, not null
     * @return the routes, never null
     */
    public static JobRoutes of(
            JobRouter router,
            JobService jobs,
            OwnedIncarnations ownedIncarnations,
            Lifecycle lifecycle) {
        Objects.requireNonNull(router, "router");
        return new JobRoutes(router, jobs, ownedIncarnations, lifecycle);
    }

    /**
     * Serves {@code GET /v1/session}.
     *
     * @param call the call, not null
     */
    public void session(HttpCall call) {
        if (!checkServing(call)) {
            return;
        }
        ObjectNode node = Json.object();
        node.put("session", mOwnedIncarnations.currentToken(System.nanoTime()).toString());
        node.put("retentionMilliseconds", mOwnedIncarnations.retention().toMillis());
        call.answer(node);
    }

    /**
     * Serves {@code /v1/jobs/NAME} and {@code /v1/jobs/NAME/trace}.
     *
     * @param call the call, not null
     */
    public void jobs(HttpCall call) {
        List<String> path = call.path();
        boolean trace = path.size() == 4 && path.get(3).equals("trace");
        if (path.size() != 3 && !trace) {
            call.refuse(Failure.of(FailureKind.NO_SUCH_ADDRESS, "expected /v1/jobs/NAME"));
            return;
        }
        Either<Failure, JobRequest> request =
                JobName.parse(path.get(2)).flatMap(name -> parseRequest(call, name, trace));
        if (request.isLeft()) {
            call.refuse(request.getLeft());
            return;
        }
        if (checkServing(call)) {
            answer(call, mRouter.serve(request.get()));
        }
    }

    /**
     * Serves {@code POST /v1/requests/SERVICE}: runs a single request as a job with one task.
     *
     * @param call the call, not null
     */
    public void requests(HttpCall call) {
        if (!checkServing(call)) {
            return;
        }
        Either<Failure, JobSpec> spec = parseSingleRequest(call, call.body());
        if (spec.isLeft()) {
            call.refuse(spec.getLeft());
            return;
        }
        String key = "request:" + Long.toHexString(mRandom.nextLong());
        JobName name = JobName.of(mOwnedIncarnations.currentToken(System.nanoTime()), key);
        mJobs.run(name, spec.get()).thenAccept(reply -> SingleRequestAnswers.answer(call, reply));
    }

    private static Either<Failure, JobRequest> parseRequest(
            HttpCall call, JobName name, boolean trace) {
        Either<Failure, Long> wait = call.number("waitMilliseconds", 0, MAX_WAIT_MILLISECONDS);
        if (wait.isLeft()) {
            return Either.left(wait.getLeft());
        }
        JobOperation read = trace ? JobOperation.TRACE : JobOperation.GET;
        return switch (call.method()) {
            case "GET" -> Either.right(JobRequest.of(read, name, wait.get()));
            case "DELETE" -> Either.right(JobRequest.of(JobOperation.CANCEL, name, 0));
            case "PUT" -> Either.right(JobRequest.submit(name, call.body()));
            default -> Either.left(Failure.of(FailureKind.NO_SUCH_ADDRESS, "no such method"));
        };
    }

    private static Either<Failure, JobSpec> parseSingleRequest(HttpCall call, byte[] body) {
        List<String> path = call.path();
        String team = call.header("Wagtail-Team").getOrElse("");
        boolean valid =
                call.method().equals("POST")
                        && path.size() == 3
                        && Names.isName(path.get(2))
                        && Names.isName(team);
        if (!valid) {
            return Either.left(
                    Failure.of(
                            FailureKind.MALFORMED_REQUEST,
                            "expected POST /v1/requests/SERVICE with the header Wagtail-Team"));
        }
        String declared = call.header("Wagtail-Declared-Milliseconds").getOrElse("100");
        if (!declared.matches("[1-9][0-9]{0,7}")) {
            return Either.left(
                    Failure.of(
                            FailureKind.MALFORMED_REQUEST,
                            "Wagtail-Declared-Milliseconds must be a whole number above 0"));
        }
        boolean idempotent = call.header("Wagtail-Idempotent").contains("true");
        String payload = new String(body, StandardCharsets.UTF_8);
        TaskSpec task = TaskSpec.of("request", payload, Long.parseLong(declared));
        return Either.right(
                new JobSpec(
                        ServiceName.of(path.get(2)),
                        TeamName.of(team),
                        "single request",
                        idempotent,
                        List.of(task)));
    }

    /**
     * Refuses the call if this instance is sealed or was never ready. Otherwise adds a session
     * token to the answer, unless the instance is draining.
     */
    private boolean checkServing(HttpCall call) {
        if (mLifecycle.isSealed()) {
            call.refuse(Failure.of(FailureKind.HOME_UNREACHABLE, "this instance gives up"));
            return false;
        }
        if (!mLifecycle.hasBeenReady()) {
            call.refuse(Failure.of(FailureKind.NOT_READY, "no configuration is in force yet"));
            return false;
        }
        if (!mLifecycle.isDraining()) {
            call.setAnswerHeader(
                    SESSION_HEADER, mOwnedIncarnations.currentToken(System.nanoTime()).toString());
        }
        return true;
    }

    private static void answer(HttpCall call, CompletableFuture<JobReply> reply) {
        reply.thenAccept(
                        each ->
                                call.answer(
                                        each.status(),
                                        each.failure().isDefined() ? Problems.MEDIA_TYPE : JSON,
                                        each.body()))
                .exceptionally(
                        defect -> {
                            call.refuse(Failure.of(FailureKind.INTERNAL, "see the log"));
                            return null;
                        });
    }
}
