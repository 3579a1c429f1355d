package org.wagtailproxy.integration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wagtailproxy.integration.Cluster.Entry;

/** HTTP client for the public interface of entry instances, as callers and operators use it. */
final class Caller {

    static final ObjectMapper MAPPER = new ObjectMapper();

    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private static final Duration TIMEOUT = Duration.ofSeconds(40);

    /**
     * Represents an answer of an entry instance.
     *
     * @param status the HTTP status
     * @param body the JSON body, or a text node if the body is no JSON object
     */
    record Answer(int status, JsonNode body) {

        String state() {
            return body.path("state").asText("");
        }

        String problemType() {
            String type = body.path("type").asText("");
            return type.substring(type.lastIndexOf(':') + 1);
        }

        String executed() {
            return body.path("executed").asText("");
        }

        boolean hasEnded() {
            return state().equals("complete") || state().equals("failed");
        }
    }

    boolean isReady(Entry entry) throws IOException, InterruptedException {
        return send(entry, "GET", "/health/ready", "").status() == 200;
    }

    String fetchSession(Entry entry) throws IOException, InterruptedException {
        return send(entry, "GET", "/v1/session", "").body().path("session").asText();
    }

    Answer submit(Entry entry, String name, String body) throws IOException, InterruptedException {
        return send(entry, "PUT", "/v1/jobs/" + name, body);
    }

    Answer get(Entry entry, String name, long waitMilliseconds)
            throws IOException, InterruptedException {
        return send(entry, "GET", "/v1/jobs/" + name + "?waitMilliseconds=" + waitMilliseconds, "");
    }

    /**
     * Queries a job repeatedly until it has ended, as callers are requested to do. Failed queries
     * are repeated too.
     */
    Answer awaitEnd(Entry entry, String name, long seconds) {
        Answer[] last = new Answer[1];
        Await.until(
                name + " ends as seen by " + entry,
                seconds,
                () -> {
                    last[0] = get(entry, name, 1000);
                    return last[0].hasEnded();
                });
        return last[0];
    }

    /** Creates a resource; repeats the call until it succeeds, for at most 13 seconds. */
    void declare(Entry entry, String kind, String name, String spec) {
        Await.until(
                kind + "/" + name + " is declared",
                13,
                () ->
                        send(
                                                entry,
                                                "PUT",
                                                "/v1/resources/"
                                                        + kind
                                                        + "/"
                                                        + name
                                                        + "?resourceVersion=0",
                                                spec)
                                        .status()
                                == 200);
    }

    /** Returns the active version of each resource on an instance, by KIND/NAME. */
    Map<String, Long> activeVersions(Entry entry) throws IOException, InterruptedException {
        Map<String, Long> versions = new TreeMap<>();
        JsonNode resources = send(entry, "GET", "/v1/resources", "").body().path("resources");
        for (JsonNode resource : resources) {
            String id = resource.path("kind").asText() + "/" + resource.path("name").asText();
            versions.put(id, resource.path("resourceVersion").asLong());
        }
        return versions;
    }

    Answer send(Entry entry, String method, String path, String body)
            throws IOException, InterruptedException {
        return send(entry, method, path, body, Map.of());
    }

    Answer send(Entry entry, String method, String path, String body, Map<String, String> headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + entry.callerAddress() + path))
                        .timeout(TIMEOUT)
                        .method(method, BodyPublishers.ofString(body));
        headers.forEach(request::header);
        var response = CLIENT.send(request.build(), BodyHandlers.ofString());
        String text = response.body();
        JsonNode node =
                text.startsWith("{")
                        ? MAPPER.readTree(text)
                        : MAPPER.getNodeFactory().textNode(text);
        return new Answer(response.statusCode(), node);
    }

    /** Returns the JSON document of a job whose tasks each take this time at slowdown 1. */
    static String jobDocument(int tasks, long milliseconds) {
        return jobDocument(tasks, milliseconds, "confirm slot holds");
    }

    static String jobDocument(int tasks, long milliseconds, String purpose) {
        ObjectNode job = MAPPER.createObjectNode();
        job.put("service", Cluster.SERVICE);
        job.put("team", Cluster.TEAM);
        job.put("purpose", purpose);
        ArrayNode taskList = job.putArray("tasks");
        for (int index = 0; index < tasks; index++) {
            taskList.addObject()
                    .put("key", "t" + index)
                    .put("payload", milliseconds + ":slot " + index)
                    .put("declaredMilliseconds", Math.max(1, milliseconds));
        }
        return job.toString();
    }

    /**
     * Checks the answers of a job that was created by {@link #jobDocument}.
     *
     * @return the wrong number of tasks or the first task with a wrong answer, empty if all match
     */
    static Optional<String> findWrongAnswer(JsonNode job, int tasks, long milliseconds) {
        if (job.path("tasks").size() != tasks) {
            return Optional.of("tasks: " + job.path("tasks").size());
        }
        for (int index = 0; index < tasks; index++) {
            String expected = BackendStandIn.expectedAnswer(milliseconds + ":slot " + index);
            JsonNode task = job.path("tasks").path(index);
            boolean matches =
                    task.path("key").asText().equals("t" + index)
                            && task.path("answer").asText().equals(expected);
            if (!matches) {
                return Optional.of(task.toString());
            }
        }
        return Optional.empty();
    }
}
