package org.wagtailproxy.control;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.wagtailproxy.identity.HostAddress;

/** Runs commands against one entry instance and prints the results. */
final class Commands {

    private static final long MAX_WAIT_MILLISECONDS = 20_000;

    private final InstanceClient mClient;
    private final PrintStream mOut;

    Commands(InstanceClient client, PrintStream out) {
        mClient = client;
        mOut = out;
    }

    /**
     * Declares, or only validates, the resources of a file in order; stops at the first failure.
     */
    Either<ControlFailure, ExitCode> apply(String file, boolean onlyCheck) {
        Either<ControlFailure, JsonNode> parsed = read(file).flatMap(InstanceClient::parse);
        if (parsed.isLeft()) {
            return Either.left(parsed.getLeft());
        }
        List<JsonNode> documents = new ArrayList<>();
        if (parsed.get().isArray()) {
            parsed.get().forEach(documents::add);
        } else {
            documents.add(parsed.get());
        }
        for (JsonNode document : documents) {
            Either<ControlFailure, ExitCode> applied = applyOne(document, onlyCheck);
            if (applied.isLeft()) {
                return applied;
            }
        }
        return Either.right(ExitCode.OK);
    }

    /**
     * Prints the timeline of a job from log lines in files, or from standard input if no files are
     * given.
     */
    Either<ControlFailure, ExitCode> explain(String job, List<String> files) {
        JobTimeline timeline = new JobTimeline(job);
        try {
            if (files.isEmpty()) {
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
                        .lines()
                        .forEach(timeline::add);
            }
            for (String file : files) {
                try (Stream<String> lines = Files.lines(Path.of(file))) {
                    lines.forEach(timeline::add);
                }
            }
        } catch (IOException | UncheckedIOException | InvalidPathException unreadable) {
            return Either.left(ControlFailure.of(ExitCode.USAGE, "cannot read: " + unreadable));
        }
        if (timeline.isEmpty()) {
            return Either.left(ControlFailure.of(ExitCode.UNKNOWN, "no line names job " + job));
        }
        timeline.lines().forEach(mOut::println);
        return Either.right(ExitCode.OK);
    }

    Either<ControlFailure, ExitCode> get(String kind, String name) {
        if (name != null) {
            return mClient.get("/v1/resources/" + kind + "/" + name).map(this::print);
        }
        return mClient.get("/v1/resources")
                .map(
                        list -> {
                            for (JsonNode resource : list.path("resources")) {
                                if (resource.path("kind").asText().equals(kind)) {
                                    print(resource);
                                }
                            }
                            return ExitCode.OK;
                        });
    }

    Either<ControlFailure, ExitCode> withdraw(String kind, String name) {
        String path = "/v1/resources/" + kind + "/" + name;
        return mClient.get(path)
                .map(current -> current.path("resourceVersion").asLong())
                .flatMap(version -> mClient.delete(path + "?resourceVersion=" + version))
                .map(this::print);
    }

    /**
     * Prints the active resources, then each change, until the number of changes or the time is
     * reached.
     */
    Either<ControlFailure, ExitCode> watch(int changes, int seconds) {
        long endNanos = System.nanoTime() + Duration.ofSeconds(seconds).toNanos();
        long after = 0;
        int printed = 0;
        while (printed < changes) {
            long leftMillis = Duration.ofNanos(endNanos - System.nanoTime()).toMillis();
            if (leftMillis <= 0) {
                break;
            }
            long wait = Math.min(leftMillis, MAX_WAIT_MILLISECONDS);
            String path = "/v1/resources?after=" + after + "&waitMilliseconds=" + wait;
            Either<ControlFailure, JsonNode> list = mClient.get(path);
            if (list.isLeft()) {
                return Either.left(list.getLeft());
            }
            for (JsonNode resource : list.get().path("resources")) {
                print(resource);
                printed++;
                after = Math.max(after, resource.path("resourceVersion").asLong());
            }
        }
        return Either.right(ExitCode.OK);
    }

    Either<ControlFailure, ExitCode> submit(String name, String file) {
        return read(file).flatMap(body -> mClient.put("/v1/jobs/" + name, body)).map(this::print);
    }

    Either<ControlFailure, ExitCode> await(String name, int seconds) {
        long endNanos = System.nanoTime() + Duration.ofSeconds(seconds).toNanos();
        while (true) {
            long leftMillis = Duration.ofNanos(endNanos - System.nanoTime()).toMillis();
            long wait = Math.max(0, Math.min(leftMillis, MAX_WAIT_MILLISECONDS));
            Either<ControlFailure, JsonNode> job =
                    mClient.get("/v1/jobs/" + name + "?waitMilliseconds=" + wait);
            if (job.isLeft()) {
                return Either.left(job.getLeft());
            }
            String state = job.get().path("state").asText();
            if (!state.equals("running")) {
                print(job.get());
                return Either.right(state.equals("failed") ? ExitCode.JOB_FAILED : ExitCode.OK);
            }
            if (leftMillis <= 0) {
                return Either.left(ControlFailure.of(ExitCode.UNKNOWN, "the job still runs"));
            }
        }
    }

    Either<ControlFailure, ExitCode> trace(String name) {
        return mClient.get("/v1/jobs/" + name + "/trace")
                .map(
                        trace -> {
                            mOut.println(
                                    trace.path("name").asText()
                                            + " "
                                            + trace.path("state").asText());
                            trace.path("tasks").forEach(this::printTask);
                            return ExitCode.OK;
                        });
    }

    Either<ControlFailure, ExitCode> cancel(String name) {
        return mClient.delete("/v1/jobs/" + name).map(this::print);
    }

    Either<ControlFailure, ExitCode> session() {
        return mClient.get("/v1/session")
                .map(
                        session -> {
                            mOut.println(session.path("session").asText());
                            return ExitCode.OK;
                        });
    }

    /** Queries every instance that the first one knows, and sums their burn counts. */
    Either<ControlFailure, ExitCode> burn(boolean json) {
        Either<ControlFailure, JsonNode> instances = mClient.get("/v1/instances");
        if (instances.isLeft()) {
            return Either.left(instances.getLeft());
        }
        BurnReport report = new BurnReport();
        for (JsonNode instance : instances.get().path("instances")) {
            String text = instance.path("callerAddress").asText();
            HostAddress.parse(text)
                    .forEach(
                            address ->
                                    new InstanceClient(address)
                                            .get("/v1/burn")
                                            .peek(report::add)
                                            .peekLeft(failure -> report.addUnreachable(text)));
        }
        mOut.print(json ? InstanceClient.pretty(report.toJson()) + "\n" : report.toText());
        return Either.right(report.isComplete() ? ExitCode.OK : ExitCode.PARTIAL);
    }

    /** Sums the counts in metrics that are read from addresses or from files. */
    Either<ControlFailure, ExitCode> burn(List<String> sources, int targetPerMille) {
        MetricsBurn burn = new MetricsBurn();
        for (String source : sources) {
            Either<ControlFailure, String> text =
                    source.startsWith("http://")
                            ? InstanceClient.fetchText(source)
                            : read(source).map(bytes -> new String(bytes, StandardCharsets.UTF_8));
            if (text.isLeft()) {
                return Either.left(text.getLeft());
            }
            burn.add(text.get());
        }
        mOut.print(burn.toText(targetPerMille));
        return Either.right(ExitCode.OK);
    }

    private Either<ControlFailure, ExitCode> applyOne(JsonNode document, boolean onlyCheck) {
        String kind = document.path("kind").asText();
        String path = "/v1/resources/" + kind + "/" + document.path("name").asText();
        byte[] spec = document.path("spec").toString().getBytes(StandardCharsets.UTF_8);
        if (onlyCheck) {
            return mClient.put(path + "?dryRun=true", spec).map(this::print);
        }
        Either<ControlFailure, Long> version =
                document.has("resourceVersion")
                        ? Either.right(document.path("resourceVersion").asLong())
                        : currentVersion(path);
        return version.flatMap(expected -> mClient.put(path + "?resourceVersion=" + expected, spec))
                .map(this::print);
    }

    private Either<ControlFailure, Long> currentVersion(String path) {
        Either<ControlFailure, JsonNode> current = mClient.get(path);
        if (current.isLeft() && current.getLeft().exitCode() == ExitCode.REFUSED) {
            return Either.right(0L);
        }
        return current.map(resource -> resource.path("resourceVersion").asLong());
    }

    private void printTask(JsonNode task) {
        mOut.println("  " + task.path("key").asText() + " " + task.path("state").asText());
        for (JsonNode event : task.path("events")) {
            mOut.printf(
                    "    %6d ms  %-12s %s %s%n",
                    event.path("atMilliseconds").asLong(),
                    event.path("event").asText(),
                    event.path("backendServer").asText(""),
                    event.path("reason").asText(""));
        }
    }

    private ExitCode print(JsonNode node) {
        mOut.println(InstanceClient.pretty(node));
        return ExitCode.OK;
    }

    private static Either<ControlFailure, byte[]> read(String file) {
        try {
            return Either.right(Files.readAllBytes(Path.of(file)));
        } catch (IOException | InvalidPathException unreadable) {
            return Either.left(ControlFailure.of(ExitCode.USAGE, "cannot read " + file));
        }
    }
}
