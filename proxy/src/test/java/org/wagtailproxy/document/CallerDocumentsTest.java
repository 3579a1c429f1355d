package org.wagtailproxy.document;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.configuration.ResourceId;
import org.wagtailproxy.configuration.ResourceKind;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.job.JobSpec;

/** Guards against documents of callers and operators that take up far more than their size. */
class CallerDocumentsTest {

    private static final byte[] MANY_TOKENS =
            ("{\"tasks\":[" + "[],".repeat(150_000) + "0]}").getBytes(StandardCharsets.UTF_8);

    @Test
    void testJobOfManyTokensIsRefusedWithTheLimit() {
        Failure failure = JobDocuments.readJob(MANY_TOKENS).getLeft();
        assertThat(failure.kind(), is(FailureKind.MALFORMED_REQUEST));
        assertThat(failure.detail(), containsString("200000"));
    }

    @Test
    void testResourceOfManyTokensIsRefusedWithTheLimit() {
        ResourceId id = new ResourceId(ResourceKind.SERVICE, "a");
        Failure failure = ResourceDocuments.check(id, MANY_TOKENS).getLeft();
        assertThat(failure.kind(), is(FailureKind.MALFORMED_REQUEST));
        assertThat(failure.detail(), containsString("200000"));
    }

    @Test
    void testLargestJobIsRead() {
        String task = "{\"key\":\"k%d\",\"payload\":\"p\",\"declaredMilliseconds\":100}";
        StringBuilder tasks = new StringBuilder();
        for (int number = 0; number < 940; number++) {
            tasks.append(number == 0 ? "" : ",").append(String.format(task, number));
        }
        String job =
                "{\"service\":\"a\",\"team\":\"b\",\"purpose\":\"c\",\"tasks\":[" + tasks + "]}";
        Either<Failure, JobSpec> read = JobDocuments.readJob(job.getBytes(StandardCharsets.UTF_8));
        assertThat(read.isRight(), is(true));
    }
}
