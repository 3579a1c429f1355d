package org.wagtailproxy.home;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.identity.SessionToken;
import org.wagtailproxy.identity.TeamName;
import org.wagtailproxy.job.JobSpec;
import org.wagtailproxy.job.TaskSpec;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.Metrics;
import org.wagtailproxy.settings.Settings.SessionSettings;
import org.wagtailproxy.view.SharedView;
import org.wagtailproxy.wire.EndRecord;

class JobServiceTest {

    private static final Incarnation OWN = Incarnation.of(1, 2);
    private static final long OUTCOME_BYTES_LIMIT = 10;

    private final EventLog mLog = EventLog.of("n1", "one", "1", (level, message, cause) -> {});
    private final JobService mService =
            JobService.of(
                    OwnedIncarnations.of(
                            OWN, new SessionSettings(Duration.ofMinutes(1), 3), System.nanoTime()),
                    SharedView.of(mLog),
                    null,
                    null,
                    OUTCOME_BYTES_LIMIT,
                    Metrics.of(),
                    mLog);

    @Test
    void testEndThatIsHandedOverTwiceTakesMemoryOnce() {
        EndRecord record =
                EndRecord.newBuilder()
                        .setContentDigest(ByteString.copyFromUtf8("0".repeat(64)))
                        .setDocument(ByteString.copyFromUtf8("123456"))
                        .build();
        mService.addHandedOverEnd(name("ended"), record);
        mService.addHandedOverEnd(name("ended"), record);
        JobSpec spec =
                JobSpec.of(
                        ServiceName.of("desk"),
                        TeamName.of("crew"),
                        "test",
                        List.of(TaskSpec.of("first", "text", 10)));
        assertThat(
                mService.submit(name("next"), spec).failure(),
                is(Option.some(FailureKind.UNKNOWN_TEAM.slug())));
    }

    private static JobName name(String key) {
        return JobName.of(SessionToken.of(OWN, 0), key);
    }
}
