package org.wagtailproxy.backend;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.wagtailproxy.dispatch.BackendServerId;
import org.wagtailproxy.dispatch.SendResult;

/**
 * Sends tasks to backend servers, each at most once.
 *
 * <p>A task is sent as a POST request, which the HTTP client of the JDK never retries by itself.
 * Only a failed connection attempt, or an answer in which the backend server states it, proves that
 * a task was not run.
 */
public final class BackendClient {

    /** The header with the name of the task; the answer must repeat it. */
    public static final String TASK_HEADER = "Wagtail-Task";

    /** The header that states, with the value {@code no}, that the task was not run. */
    public static final String EXECUTED_HEADER = "Wagtail-Executed";

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final HttpClient mClient;

    private BackendClient(HttpClient client) {
        mClient = client;
    }

    /**
     * Creates a client.
     *
     * @param client the HTTP client, not null
     * @return the client, never null
     */
    public static BackendClient of(HttpClient client) {
        return new BackendClient(Objects.requireNonNull(client, "client"));
    }

    /**
     * Sends a task.
     *
     * @param server the backend server, not null
     * @param taskName the name of the task, which no other task ever has, not null
     * @param payload the payload, not null
     * @param timeout the maximum time until the answer, positive
     * @return the outcome; the future never completes exceptionally
     */
    public CompletableFuture<SendOutcome> send(
            BackendServerId server, String taskName, String payload, Duration timeout) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + server + "/tasks"))
                        .timeout(timeout)
                        .header("Content-Type", "text/plain; charset=utf-8")
                        .header(TASK_HEADER, taskName)
                        .POST(BodyPublishers.ofString(payload))
                        .build();
        return mClient.sendAsync(request, BodyHandlers.ofByteArray())
                .thenApply(response -> classify(response, taskName))
                .exceptionally(BackendClient::classify);
    }

    private static SendOutcome classify(HttpResponse<byte[]> response, String taskName) {
        HttpHeaders headers = response.headers();
        int status = response.statusCode();
        if (status == UNAVAILABLE && headerIs(headers, EXECUTED_HEADER, "no")) {
            return SendOutcome.of(SendResult.REFUSED, "no free slot");
        }
        if (status != OK) {
            return SendOutcome.of(SendResult.FAILED, "status " + status);
        }
        if (!headerIs(headers, TASK_HEADER, taskName)) {
            return SendOutcome.of(SendResult.UNKNOWN, "the answer belongs to another task");
        }
        boolean delimited =
                headers.firstValue("Content-Length").isPresent()
                        || headerIs(headers, "Transfer-Encoding", "chunked");
        if (!delimited) {
            return SendOutcome.of(SendResult.UNKNOWN, "the answer may be truncated");
        }
        return SendOutcome.answered(new String(response.body(), StandardCharsets.UTF_8));
    }

    private static SendOutcome classify(Throwable failure) {
        for (Throwable each = failure; each != null; each = each.getCause()) {
            if (each instanceof ConnectException || each instanceof HttpConnectTimeoutException) {
                return SendOutcome.of(SendResult.NOT_CONNECTED, "no connection");
            }
            if (each.getCause() == each) {
                break;
            }
        }
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        return SendOutcome.of(SendResult.UNKNOWN, cause.getClass().getSimpleName());
    }

    private static boolean headerIs(HttpHeaders headers, String name, String value) {
        return headers.firstValue(name).filter(value::equalsIgnoreCase).isPresent();
    }
}
