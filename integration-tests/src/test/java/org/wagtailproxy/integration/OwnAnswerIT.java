package org.wagtailproxy.integration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.integration.Caller.Answer;
import org.wagtailproxy.integration.FaultProxy.Fault;

/**
 * Guards against callers that receive a truncated answer or the answer to another task. This can
 * happen if answers arrive late or out of order, are truncated or carry the name of another task,
 * or if connections are reset.
 */
class OwnAnswerIT {

    private static final long SEED = 20261204;

    @Test
    void testAnswersThatComeLateAndOutOfOrderReachTheirOwnJobs() throws Exception {
        try (Cluster cluster = Cluster.start(1, 2, 1, 3, 7)) {
            cluster.backends().get(1).proxy().setAnswerDelay(30);
            List<String> names = submit(cluster, 20, 40);
            for (int index = 0; index < names.size(); index++) {
                Answer end = cluster.caller().awaitEnd(cluster.entry(1), names.get(index), 30);
                assertThat(end.state(), is("complete"));
                assertThat(Caller.findWrongAnswer(end.body(), 40, 1 + index), is(Optional.empty()));
            }
        }
    }

    @Test
    void testTruncatedAnswerIsNeverPassedOnAsAnAnswer() throws Exception {
        try (Cluster cluster = Cluster.start(1, 2, 1, 1)) {
            cluster.backends().get(0).proxy().setFault(Fault.TRUNCATE_ANSWERS);
            List<String> names = submit(cluster, 6, 20);
            assertThat(wrongEnds(cluster, names, 20, "task-outcome-unknown"), is(empty()));
            assertThat(cluster.startRecorder().startedTwice(), is(empty()));
        }
    }

    @Test
    void testAnswerUnderAnotherNameIsNeverPassedOn() throws Exception {
        try (Cluster cluster = Cluster.start(1, 2, 1, 1)) {
            cluster.backends().get(0).standIn().setMislabelling(true);
            List<String> names = submit(cluster, 6, 20);
            assertThat(wrongEnds(cluster, names, 20, "task-outcome-unknown"), is(empty()));
        }
    }

    @Test
    void testConnectionsResetAtRandomLeaveOnlyWholeAnswers() throws Exception {
        System.out.println("seed " + SEED);
        Random random = new Random(SEED);
        try (Cluster cluster = Cluster.start(1, 2, 1, 1, 2)) {
            List<String> names = submit(cluster, 30, 20);
            for (int round = 0; round < 20; round++) {
                FaultProxy proxy =
                        cluster.backends().get(random.nextInt(cluster.backends().size())).proxy();
                proxy.setFault(Fault.CUT);
                Thread.sleep(random.nextInt(60));
                proxy.setFault(Fault.NONE);
            }
            assertThat(wrongEnds(cluster, names, 20, "task-outcome-unknown"), is(empty()));
            assertThat(cluster.startRecorder().startedTwice(), is(empty()));
        }
    }

    private static List<String> submit(Cluster cluster, int jobs, int tasks) throws Exception {
        String session = cluster.caller().fetchSession(cluster.entry(0));
        List<String> names = new ArrayList<>();
        for (int index = 0; index < jobs; index++) {
            String name = session + ".own" + index;
            cluster.caller().submit(cluster.entry(0), name, Caller.jobDocument(tasks, 1 + index));
            names.add(name);
        }
        return names;
    }

    /**
     * Returns the ends of jobs that are neither complete with correct answers nor failed for the
     * given reason without showing answers.
     */
    private static List<String> wrongEnds(
            Cluster cluster, List<String> names, int tasks, String reason) {
        List<String> wrongEnds = new ArrayList<>();
        for (int index = 0; index < names.size(); index++) {
            Answer end = cluster.caller().awaitEnd(cluster.entry(1), names.get(index), 60);
            assertThat(end.body().toString(), end.body().path("tasks").size(), greaterThan(0));
            boolean hasRightAnswers =
                    Caller.findWrongAnswer(end.body(), tasks, 1 + index).isEmpty();
            boolean failedAsExpected =
                    end.state().equals("failed")
                            && end.body().path("failure").path("type").asText().endsWith(reason)
                            && !showsAnswers(end.body());
            if (!(end.state().equals("complete") && hasRightAnswers) && !failedAsExpected) {
                wrongEnds.add(end.toString());
            }
        }
        return wrongEnds;
    }

    private static boolean showsAnswers(JsonNode job) {
        for (JsonNode task : job.path("tasks")) {
            if (task.has("answer")) {
                return true;
            }
        }
        return false;
    }
}
