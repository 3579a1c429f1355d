package org.wagtailproxy.observe;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.StringMapMessage;
import org.junit.jupiter.api.Test;

class QueuedSinkTest {

    private static StringMapMessage line(int number) {
        return new StringMapMessage().with("event", "line-" + number);
    }

    @Test
    void testBlockedOutputNeverBlocksWritersAndDroppedLinesAreReported()
            throws InterruptedException {
        CountDownLatch unblock = new CountDownLatch(1);
        List<String> written = Collections.synchronizedList(new ArrayList<>());
        LineSink blocked =
                (level, message, cause) -> {
                    try {
                        unblock.await();
                    } catch (InterruptedException closing) {
                        Thread.currentThread().interrupt();
                    }
                    written.add(message.get("event") + " " + message.get("count"));
                };
        try (QueuedSink sink = QueuedSink.start(blocked, 100)) {
            long begin = System.nanoTime();
            for (int number = 0; number < 10_000; number++) {
                sink.write(Level.INFO, line(number), null);
            }
            long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
            assertThat(tookMillis, lessThan(1000L));
            unblock.countDown();
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
            while (written.size() < 102 && System.nanoTime() < deadline) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
        }
        assertThat(written.get(0), is("line-0 null"));
        assertThat(written, hasItem("lines-dropped 9899"));
    }
}
