package org.wagtailproxy.integration;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import org.wagtailproxy.integration.Caller.Answer;
import org.wagtailproxy.integration.Cluster.Entry;

/** HTTP client with a timeout of 300 ms, for instances that may be paused. */
final class ShortTimeoutClient {

    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(300))
                    .build();
    private static final Duration TIMEOUT = Duration.ofMillis(300);

    private ShortTimeoutClient() {}

    static Answer get(Entry entry, String path) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + entry.callerAddress() + path))
                        .timeout(TIMEOUT)
                        .build();
        var response = CLIENT.send(request, BodyHandlers.ofByteArray());
        return new Answer(response.statusCode(), Caller.MAPPER.readTree(response.body()));
    }
}
