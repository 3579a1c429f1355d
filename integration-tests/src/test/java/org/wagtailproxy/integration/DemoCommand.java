package org.wagtailproxy.integration;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.integration.Cluster.Entry;

/**
 * Command that runs a job through wagtailctl, as an operator would, with stand-ins for the platform
 * and the backend servers.
 */
final class DemoCommand {

    private static final int TASKS = 100;
    private static final int SHOWN_LINES = 14;

    private DemoCommand() {}

    public static void main(String[] arguments) throws Exception {
        String controlProgram = arguments[0];
        System.out.println("starting four entry instances in two data centres ...");
        try (Cluster cluster = Cluster.start(2, 2, 1, 2, 4)) {
            Entry first = cluster.entry(0);
            Entry last = cluster.entry(3);
            String name = cluster.caller().fetchSession(first) + ".demo";
            Path job = Files.createTempFile("job", ".json");
            Files.writeString(job, Caller.jobDocument(TASKS, 50));
            System.out.println("submitting " + name + " through " + first);
            runControl(controlProgram, first, "submit", name, job.toString());
            System.out.println("awaiting its end through " + last);
            JsonNode end = cluster.caller().awaitEnd(last, name, 60).body();
            System.out.println("state: " + end.path("state").asText());
            for (JsonNode task : end.path("tasks")) {
                String line = task.path("key").asText() + " -> " + task.path("answer").asText();
                System.out.println("  " + line);
            }
            System.out.println("trace, its first lines:");
            runControl(controlProgram, last, "trace", name).stream()
                    .limit(SHOWN_LINES)
                    .forEach(System.out::println);
            System.out.println("burn report:");
            runControl(controlProgram, first, "burn").forEach(System.out::println);
            int startedTwiceCount = cluster.startRecorder().startedTwice().size();
            System.out.println(
                    "tasks started twice, by the backend servers' count: " + startedTwiceCount);
        }
        System.exit(0);
    }

    private static List<String> runControl(String controlProgram, Entry entry, String... arguments)
            throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.addAll(List.of(controlProgram, "--address", entry.callerAddress()));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes());
        if (!process.waitFor(30, TimeUnit.SECONDS) || process.exitValue() != 0) {
            throw new IOException("wagtailctl failed: " + output);
        }
        return output.lines().toList();
    }
}
