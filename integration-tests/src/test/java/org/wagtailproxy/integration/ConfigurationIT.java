package org.wagtailproxy.integration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.integration.Caller.Answer;
import org.wagtailproxy.integration.Cluster.Entry;
import org.wagtailproxy.integration.FaultProxy.Fault;

/**
 * Guards against an accepted configuration that is not active on every instance within 13 seconds,
 * or is replaced by an older version afterwards. Causes are concurrent writes, lost answers and
 * stale reads of the store, a network partition, and restarts during an outage of the platform.
 */
class ConfigurationIT {

    private static final long LIMIT_SECONDS = 13;
    private static final String RESOURCE = "team/" + Cluster.TEAM;
    private static final String PATH = "/v1/resources/" + RESOURCE;

    @Test
    void testOneOfRacingOperatorsWinsAndTheOthersHearOfTheConflict() throws Exception {
        try (Cluster cluster = Cluster.start(2, 2);
                Observer observer = new Observer(cluster)) {
            long version = cluster.caller().activeVersions(cluster.entry(0)).get(RESOURCE);
            for (int round = 0; round < 5; round++) {
                List<Answer> answers = race(cluster, version);
                List<Answer> winners =
                        answers.stream().filter(answer -> answer.status() == 200).toList();
                assertThat(answers.toString(), winners, hasSize(1));
                answers.stream()
                        .filter(answer -> answer.status() != 200)
                        .forEach(
                                answer -> assertThat(answer.problemType(), is("version-conflict")));
                version = winners.get(0).body().path("resourceVersion").asLong();
                awaitEverywhere(cluster, version);
            }
            assertThat(observer.reversals(), is(empty()));
        }
    }

    @Test
    void testWriteWhoseAnswerIsLostIsRecognisedAndInForce() throws Exception {
        try (Cluster cluster = Cluster.start(2, 2);
                Observer observer = new Observer(cluster)) {
            long version = cluster.caller().activeVersions(cluster.entry(0)).get(RESOURCE);
            cluster.platform().loseWriteAnswers(1);
            Answer answer = write(cluster, cluster.entry(3), version, 77);
            assertThat(answer.toString(), answer.status(), is(200));
            awaitEverywhere(cluster, answer.body().path("resourceVersion").asLong());
            assertThat(observer.reversals(), is(empty()));
        }
    }

    @Test
    void testStaleReadsRevertNothing() throws Exception {
        try (Cluster cluster = Cluster.start(2, 2);
                Observer observer = new Observer(cluster)) {
            long version = cluster.caller().activeVersions(cluster.entry(0)).get(RESOURCE);
            cluster.platform().setStaleReads(true);
            Answer answer = write(cluster, cluster.entry(1), version, 78);
            assertThat(answer.status(), is(200));
            awaitEverywhere(cluster, answer.body().path("resourceVersion").asLong());
            Thread.sleep(2000);
            cluster.platform().setStaleReads(false);
            Thread.sleep(1000);
            assertThat(observer.reversals(), is(empty()));
        }
    }

    @Test
    void testDataCentreCutOffFromThePlatformHearsItFromItsPeers() throws Exception {
        try (Cluster cluster = Cluster.start(Map.of(), 2, 2);
                Observer observer = new Observer(cluster)) {
            cluster.entriesIn(2).forEach(entry -> entry.platformProxy().setFault(Fault.FREEZE));
            long version = cluster.caller().activeVersions(cluster.entry(0)).get(RESOURCE);
            Answer answer = write(cluster, cluster.entry(0), version, 79);
            assertThat(answer.status(), is(200));
            awaitEverywhere(cluster, answer.body().path("resourceVersion").asLong());
            assertThat(observer.reversals(), is(empty()));
        }
    }

    @Test
    void testInstanceThatRestartsDuringAnOutageStartsFromItsPeers() throws Exception {
        try (Cluster cluster = Cluster.start(1, 3);
                Observer observer = new Observer(cluster)) {
            long version = cluster.caller().activeVersions(cluster.entry(0)).get(RESOURCE);
            Answer answer = write(cluster, cluster.entry(2), version, 80);
            long accepted = answer.body().path("resourceVersion").asLong();
            Await.until(
                    "the writer has it in force",
                    LIMIT_SECONDS,
                    () ->
                            cluster.caller().activeVersions(cluster.entry(2)).get(RESOURCE)
                                    == accepted);
            cluster.platform().setDown(true);
            cluster.entry(2).process().kill();
            cluster.entry(2).process().start();
            cluster.awaitReady(cluster.entry(2));
            assertThat(
                    cluster.caller().activeVersions(cluster.entry(2)).get(RESOURCE), is(accepted));
            assertThat(observer.reversals(), is(empty()));
        }
    }

    @Test
    void testInstanceWithoutPeersAndPlatformIsNotReadyAndSaysWhy() throws Exception {
        try (Cluster cluster = Cluster.start(1, 1)) {
            cluster.platform().setDown(true);
            Entry entry = cluster.entry(0);
            entry.process().kill();
            entry.process().start();
            Await.until(
                    "the instance answers",
                    20,
                    () -> ShortTimeoutClient.get(entry, "/health/live").status() == 200);
            Answer ready = ShortTimeoutClient.get(entry, "/health/ready");
            assertThat(ready.status(), is(503));
            assertThat(
                    ready.body().path("waitingFor").asText(),
                    is("configuration from the store or from all neighbours"));
            Answer refused = cluster.caller().submit(entry, "early", Caller.jobDocument(1, 1));
            assertThat(refused.problemType(), is("not-ready"));
        }
    }

    private static List<Answer> race(Cluster cluster, long version) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(8);
        try {
            List<Callable<Answer>> calls = new ArrayList<>();
            for (int operator = 0; operator < 8; operator++) {
                int quota = 100 + operator;
                Entry entry = cluster.entry(operator % cluster.entries().size());
                calls.add(() -> write(cluster, entry, version, quota));
            }
            List<Answer> answers = new ArrayList<>();
            for (Future<Answer> answer : threads.invokeAll(calls)) {
                answers.add(answer.get());
            }
            return answers;
        } finally {
            threads.shutdownNow();
        }
    }

    private static Answer write(Cluster cluster, Entry entry, long version, int quota)
            throws IOException, InterruptedException {
        String path = PATH + "?resourceVersion=" + version;
        return cluster.caller().send(entry, "PUT", path, "{\"quota\": " + quota + "}");
    }

    private static void awaitEverywhere(Cluster cluster, long version) {
        for (Entry entry : cluster.entries()) {
            Await.until(
                    "version " + version + " is in force on " + entry,
                    LIMIT_SECONDS,
                    () -> cluster.caller().activeVersions(entry).get(RESOURCE) >= version);
        }
    }

    /** Continuously reads the active version on every instance, also across restarts. */
    private static final class Observer implements Closeable {
        private final Cluster mCluster;
        private final Map<String, Long> mHighest = new ConcurrentHashMap<>();
        private final ConcurrentLinkedQueue<String> mReversals = new ConcurrentLinkedQueue<>();
        private final Thread mThread = new Thread(this::run, "observer");
        private volatile boolean mStopping;

        private Observer(Cluster cluster) {
            mCluster = cluster;
            mThread.start();
        }

        private List<String> reversals() {
            return List.copyOf(mReversals);
        }

        @Override
        public void close() {
            mStopping = true;
            mThread.interrupt();
        }

        private void run() {
            while (!mStopping) {
                for (Entry entry : mCluster.entries()) {
                    observe(entry);
                }
            }
        }

        /** Skips an instance that is not ready, because it has no active configuration yet. */
        private void observe(Entry entry) {
            try {
                if (ShortTimeoutClient.get(entry, "/health/ready").status() != 200) {
                    return;
                }
                Long version = mCluster.caller().activeVersions(entry).get(RESOURCE);
                long highest = mHighest.getOrDefault(entry.toString(), 0L);
                if (version == null || version < highest) {
                    mReversals.add(entry + ": " + highest + " then " + version);
                }
                mHighest.merge(entry.toString(), version == null ? 0 : version, Math::max);
            } catch (IOException unreachable) {
                Thread.onSpinWait();
            } catch (InterruptedException stopping) {
                mStopping = true;
            }
        }
    }
}
