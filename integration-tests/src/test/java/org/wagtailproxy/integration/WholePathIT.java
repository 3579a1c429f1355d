package org.wagtailproxy.integration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.integration.Caller.Answer;

/**
 * Guards against faults that show only with all parts together: a job is submitted to one of four
 * instances in two data centres and read from another, and wagtailctl reports on it. The backend
 * servers differ in speed.
 */
class WholePathIT {

    @Test
    void testJobIsPutThroughOneInstanceAndReadThroughAnother() throws Exception {
        try (Cluster cluster = Cluster.start(2, 2, 1, 2, 4)) {
            Caller caller = cluster.caller();
            String name = caller.fetchSession(cluster.entry(0)) + ".morning";
            Answer accepted = caller.submit(cluster.entry(1), name, Caller.jobDocument(100, 20));
            assertThat(accepted.toString(), accepted.status(), is(202));
            Answer end = caller.awaitEnd(cluster.entry(3), name, 30);
            assertThat(end.state(), is("complete"));
            assertThat(Caller.findWrongAnswer(end.body(), 100, 20), is(Optional.empty()));
            assertThat(cluster.startRecorder().startsOf(name).size(), is(100));
            assertThat(cluster.startRecorder().startedTwice(), is(empty()));

            String trace = control(cluster, "trace", name);
            assertThat(trace, containsString("t99 answered"));
            assertThat(trace, containsString("sent"));
            Path resource = Files.createTempFile("team", ".json");
            Files.writeString(
                    resource, "{\"kind\":\"team\",\"name\":\"yard\",\"spec\":{\"quota\":9}}");
            assertThat(control(cluster, "apply", resource.toString()), containsString("yard"));
            String watched = control(cluster, "watch", "--changes", "3", "--seconds", "13");
            assertThat(watched, containsString("yard"));
            assertThat(control(cluster, "burn"), containsString("service/booking"));
        }
    }

    private static String control(Cluster cluster, String... arguments)
            throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(EntryProcess.javaCommand());
        command.add("org.wagtailproxy.control.Main");
        command.addAll(List.of("--address", cluster.entry(2).callerAddress()));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes());
        process.waitFor(30, TimeUnit.SECONDS);
        assertThat(output, process.exitValue(), is(0));
        return output;
    }
}
