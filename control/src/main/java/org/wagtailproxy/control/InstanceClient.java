package org.wagtailproxy.control;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import org.wagtailproxy.identity.HostAddress;

/** Calls one entry instance over HTTP. */
final class InstanceClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(75);
    private static final int MIN_ERROR_STATUS = 400;
    private static final int CONFLICT = 409;
    private static final int NOT_FOUND = 404;

    private final HttpClient mClient;
    private final HostAddress mAddress;

    InstanceClient(HostAddress address) {
        mAddress = address;
        mClient = client();
    }

    Either<ControlFailure, JsonNode> get(String path) {
        return send(request(path).GET());
    }

    Either<ControlFailure, JsonNode> put(String path, byte[] body) {
        return send(request(path).PUT(BodyPublishers.ofByteArray(body)));
    }

    Either<ControlFailure, JsonNode> delete(String path) {
        return send(request(path).DELETE());
    }

    /** Reads a text from any HTTP address, such as the metrics of an instance. */
    static Either<ControlFailure, String> fetchText(String address) {
        HttpRequest request;
        try {
            request = HttpRequest.newBuilder(URI.create(address)).timeout(CONNECT_TIMEOUT).build();
        } catch (IllegalArgumentException invalid) {
            return Either.left(ControlFailure.of(ExitCode.USAGE, "not an address: " + address));
        }
        return exchange(client(), request, address)
                .flatMap(
                        response ->
                                response.statusCode() < MIN_ERROR_STATUS
                                        ? Either.right(new String(response.body(), UTF_8))
                                        : Either.left(refusal(address, response.statusCode())));
    }

    private static ControlFailure refusal(String address, int status) {
        return ControlFailure.of(ExitCode.REFUSED, address + " answers with status " + status);
    }

    private static HttpClient client() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
    }

    static Either<ControlFailure, JsonNode> parse(byte[] bytes) {
        try {
            return Either.right(MAPPER.readTree(bytes));
        } catch (IOException malformed) {
            return Either.left(ControlFailure.of(ExitCode.REFUSED, "not a JSON document"));
        }
    }

    static String pretty(JsonNode node) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(node);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("a tree can always be written", impossible);
        }
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + mAddress + path))
                .timeout(CALL_TIMEOUT);
    }

    private Either<ControlFailure, JsonNode> send(HttpRequest.Builder request) {
        return exchange(mClient, request.build(), mAddress)
                .flatMap(
                        response ->
                                response.statusCode() < MIN_ERROR_STATUS
                                        ? parse(response.body())
                                        : Either.left(failure(response)));
    }

    private static Either<ControlFailure, HttpResponse<byte[]>> exchange(
            HttpClient client, HttpRequest request, Object target) {
        try {
            return Either.right(client.send(request, BodyHandlers.ofByteArray()));
        } catch (IOException failure) {
            return Either.left(
                    ControlFailure.of(ExitCode.UNREACHABLE, target + " does not answer"));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return Either.left(ControlFailure.of(ExitCode.UNREACHABLE, "interrupted"));
        }
    }

    private static ControlFailure failure(HttpResponse<byte[]> response) {
        JsonNode problem = parse(response.body()).getOrElse(MAPPER.createObjectNode());
        String text =
                String.format(
                        "%s: %s (executed: %s)",
                        problem.path("title").asText("status " + response.statusCode()),
                        problem.path("detail").asText(""),
                        problem.path("executed").asText("unknown"));
        return ControlFailure.of(exitCode(response.statusCode(), problem), text);
    }

    private static ExitCode exitCode(int status, JsonNode problem) {
        if (status == CONFLICT) {
            return ExitCode.CONFLICT;
        }
        boolean notExecuted = problem.path("executed").asText("").equals("no");
        return notExecuted || status == NOT_FOUND ? ExitCode.REFUSED : ExitCode.UNKNOWN;
    }
}
