package org.wagtailproxy.integration;

import java.time.Duration;
import java.util.concurrent.Callable;
import org.awaitility.Awaitility;

/** Waits for conditions that have to come true. */
final class Await {

    private Await() {}

    static void until(String description, long seconds, Callable<Boolean> condition) {
        Awaitility.await(description)
                .ignoreExceptions()
                .pollInterval(Duration.ofMillis(50))
                .atMost(Duration.ofSeconds(seconds))
                .until(condition);
    }
}
