package org.wagtailproxy.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Objects;
import org.wagtailproxy.document.Json;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.observe.Metrics;

/** Calls the platform over HTTP. Each call has a timeout and is counted in the metrics. */
public final class PlatformHttpClient {

    private static final int OK = 200;

    private final HttpClient mClient;
    private final HostAddress mAddress;
    private final Duration mTimeout;
    private final Metrics mMetrics;

    private PlatformHttpClient(
            HttpClient client, HostAddress address, Duration timeout, Metrics metrics) {
        mClient = client;
        mAddress = address;
        mTimeout = timeout;
        mMetrics = metrics;
    }

    /**
     * Creates a client for one address.
     *
     * @param client the HTTP client, not null
     * @param address the address, not null
     * @param timeout the maximum duration of a call, not null
     * @param metrics counts the calls, not null
     * @return the client, never null
     */
    public static PlatformHttpClient of(
            HttpClient client, HostAddress address, Duration timeout, Metrics metrics) {
        Objects.requireNonNull(client, "client");
        return new PlatformHttpClient(client, address, timeout, metrics);
    }

    Either<Failure, JsonNode> post(String path, String call, JsonNode body) {
        HttpRequest request =
                request(path)
                        .header("Content-Type", "application/json")
                        .POST(BodyPublishers.ofByteArray(Json.bytes(body)))
                        .build();
        return send(request, call);
    }

    Either<Failure, JsonNode> get(String path, String call) {
        return send(request(path).GET().build(), call);
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + mAddress + path)).timeout(mTimeout);
    }

    private Either<Failure, JsonNode> send(HttpRequest request, String call) {
        Either<Failure, JsonNode> answer = exchange(request);
        mMetrics.platformCalled(call, answer.isRight());
        return answer;
    }

    private Either<Failure, JsonNode> exchange(HttpRequest request) {
        try {
            HttpResponse<byte[]> response = mClient.send(request, BodyHandlers.ofByteArray());
            if (response.statusCode() != OK) {
                return unavailable("status " + response.statusCode());
            }
            Either<Failure, JsonNode> parsed = Json.parse(response.body());
            return parsed.isRight() ? parsed : unavailable("unreadable answer");
        } catch (IOException failure) {
            return unavailable(failure.getClass().getSimpleName());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return unavailable("interrupted");
        }
    }

    private static Either<Failure, JsonNode> unavailable(String detail) {
        return Either.left(
                Failure.of(
                        FailureKind.STORE_UNAVAILABLE, "the platform did not answer: " + detail));
    }
}
