package org.wagtailproxy.integration;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.wagtailproxy.integration.Cluster.Entry;

/**
 * Command that measures added latency, task starts per second, processor time per task, and control
 * traffic by the size of the cluster.
 */
final class BenchmarkCommand {

    private static final int TASK_MILLISECONDS = 50;

    private BenchmarkCommand() {}

    public static void main(String[] arguments) throws Exception {
        String benchmark = arguments.length == 0 ? "all" : arguments[0];
        if (benchmark.equals("all") || benchmark.equals("latency")) {
            measureLatency();
        }
        if (benchmark.equals("all") || benchmark.equals("throughput")) {
            measureThroughput();
        }
        if (benchmark.equals("all") || benchmark.equals("control")) {
            for (int entries : new int[] {2, 4, 8, 16}) {
                measureControlTraffic(1, entries);
            }
            measureControlTraffic(4, 4);
        }
        System.exit(0);
    }

    /** Compares requests through an instance with requests sent directly to a backend server. */
    private static void measureLatency() throws Exception {
        double[] slowdowns = new double[10];
        Arrays.fill(slowdowns, 1);
        try (Cluster cluster = Cluster.startDirect(Map.of(), 1, 1, slowdowns)) {
            Entry entry = cluster.entry(0);
            String backendAddress = cluster.backends().get(0).standIn().address();
            String requestAddress = "http://" + entry.callerAddress() + "/v1/requests/booking";
            for (int round = 0; round < 3; round++) {
                Histogram direct = measureRequests("http://" + backendAddress + "/tasks", 4, 100);
                Histogram proxied = measureRequests(requestAddress, 16, 100);
                System.out.printf(
                        "latency round %d: direct p50 %.2f p99 %.2f ms; through an instance p50"
                                + " %.2f p99 %.2f ms; added p50 %.2f p99 %.2f ms%n",
                        round,
                        percentileMilliseconds(direct, 50),
                        percentileMilliseconds(direct, 99),
                        percentileMilliseconds(proxied, 50),
                        percentileMilliseconds(proxied, 99),
                        percentileMilliseconds(proxied, 50) - TASK_MILLISECONDS,
                        percentileMilliseconds(proxied, 99) - TASK_MILLISECONDS);
            }
        }
    }

    private static double percentileMilliseconds(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1000.0;
    }

    private static Histogram measureRequests(String address, int callers, int requestsPerCaller)
            throws Exception {
        Histogram latencyMicros = new ConcurrentHistogram(3);
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        ExecutorService threads = Executors.newFixedThreadPool(callers);
        for (int caller = 0; caller < callers; caller++) {
            threads.execute(() -> sendRequests(client, address, requestsPerCaller, latencyMicros));
        }
        threads.shutdown();
        threads.awaitTermination(120, TimeUnit.SECONDS);
        return latencyMicros;
    }

    private static void sendRequests(
            HttpClient client, String address, int times, Histogram latencyMicros) {
        for (int index = 0; index < times; index++) {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create(address))
                            .header("Wagtail-Team", Cluster.TEAM)
                            .header("Wagtail-Task", "benchmark" + System.nanoTime())
                            .POST(BodyPublishers.ofString(TASK_MILLISECONDS + ":x"))
                            .build();
            long startNanos = System.nanoTime();
            try {
                int status = client.send(request, BodyHandlers.ofString()).statusCode();
                if (status == 200) {
                    latencyMicros.recordValue((System.nanoTime() - startNanos) / 1000);
                }
            } catch (IOException | InterruptedException callFailed) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static void measureThroughput() throws Exception {
        double[] slowdowns = new double[40];
        Arrays.fill(slowdowns, 1);
        try (Cluster cluster = Cluster.startDirect(Map.of(), 1, 2, slowdowns)) {
            Entry entry = cluster.entry(0);
            for (int round = 0; round < 4; round++) {
                Duration processorBefore = processorTime(entry);
                long memoryBefore = residentMegabytes(entry);
                long startNanos = System.nanoTime();
                int jobs = runJobs(cluster, entry, round, 16, 40);
                double seconds = (System.nanoTime() - startNanos) / 1e9;
                Duration processorUsed = processorTime(entry).minus(processorBefore);
                int tasks = jobs * 100;
                System.out.printf(
                        "throughput round %d: %d tasks in %.1f s, %.0f starts/s; %.0f us processor"
                                + " a task; resident %d MB before, %d MB after%n",
                        round,
                        tasks,
                        seconds,
                        tasks / seconds,
                        processorUsed.toNanos() / 1000.0 / tasks,
                        memoryBefore,
                        residentMegabytes(entry));
            }
        }
    }

    private static int runJobs(
            Cluster cluster, Entry entry, int round, int callers, int jobsPerCaller)
            throws Exception {
        String session = cluster.caller().fetchSession(entry);
        AtomicInteger complete = new AtomicInteger();
        ConcurrentLinkedQueue<String> problems = new ConcurrentLinkedQueue<>();
        ExecutorService threads = Executors.newFixedThreadPool(callers);
        for (int caller = 0; caller < callers; caller++) {
            String prefix = session + ".b" + round + ":" + caller + ":";
            threads.submit(
                    () -> {
                        for (int index = 0; index < jobsPerCaller; index++) {
                            cluster.caller()
                                    .submit(entry, prefix + index, Caller.jobDocument(100, 1));
                            var end = cluster.caller().get(entry, prefix + index, 30_000);
                            if (end.state().equals("complete")) {
                                complete.incrementAndGet();
                            } else {
                                problems.add(end.toString());
                            }
                        }
                        return null;
                    });
        }
        threads.shutdown();
        threads.awaitTermination(300, TimeUnit.SECONDS);
        problems.stream().limit(3).forEach(System.out::println);
        return complete.get();
    }

    private static void measureControlTraffic(int dataCentres, int entriesPerDataCentre)
            throws Exception {
        try (Cluster cluster =
                Cluster.startDirect(Map.of(), dataCentres, entriesPerDataCentre, 1, 1)) {
            Thread.sleep(5000);
            long platformBefore = cluster.platform().callCount();
            double controlBytes = 0;
            Duration processor = Duration.ZERO;
            for (Entry entry : cluster.entries()) {
                controlBytes -= LoadReport.totalControlBytes(entry);
                processor = processor.minus(processorTime(entry));
            }
            Thread.sleep(15_000);
            for (Entry entry : cluster.entries()) {
                controlBytes += LoadReport.totalControlBytes(entry);
                processor = processor.plus(processorTime(entry));
            }
            int count = cluster.entries().size();
            System.out.printf(
                    "control: %d data centres, %d instances each: %.0f bytes/s an instance, %.2f%%"
                            + " of a core an instance, %.1f platform calls/s in all, resident %d"
                            + " MB%n",
                    dataCentres,
                    entriesPerDataCentre,
                    controlBytes / count / 15,
                    processor.toMillis() / 150.0 / count,
                    (cluster.platform().callCount() - platformBefore) / 15.0,
                    residentMegabytes(cluster.entry(0)));
        }
    }

    private static Duration processorTime(Entry entry) {
        return ProcessHandle.of(entry.process().pid())
                .flatMap(process -> process.info().totalCpuDuration())
                .orElse(Duration.ZERO);
    }

    private static long residentMegabytes(Entry entry) throws IOException {
        Path status = Path.of("/proc", Long.toString(entry.process().pid()), "status");
        return Files.readAllLines(status).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024)
                .findFirst()
                .orElse(0);
    }
}
