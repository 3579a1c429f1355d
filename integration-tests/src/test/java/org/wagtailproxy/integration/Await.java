package org.wagtailproxy.integration;

import java.time.Duration;
import java.util.concurrent.Callable;
import org.awaitility.Awaitility;

/** Polls a condition and fails with its description if it is not fulfilled in time. */
final class Await {

    private Await() {}

    /** Polls every 50 ms; an exception of the condition counts as not fulfilled. */
    static void until(String description, long seconds, Callable<Boolean> condition) {
        Awaitility.await(description)
                .ignoreExceptions()
                .pollInterval(Duration.ofMillis(50))
                .atMost(Duration.ofSeconds(seconds))
                .until(condition);
    }
}
