package org.wagtailproxy.serve;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.home.EndRecords;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.identity.SessionToken;
import org.wagtailproxy.membership.Member;
import org.wagtailproxy.membership.MemberTable;
import org.wagtailproxy.membership.MembershipTiming;
import org.wagtailproxy.peer.Members;
import org.wagtailproxy.peer.MessageConverter;
import org.wagtailproxy.wire.EndRecord;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.StoreEnd;

class PeerRequestsTest {

    /**
     * Bound for an immediate answer. A sender waits up to 5 s for an answer, and several neighbours
     * may restart in that time.
     */
    private static final long ANSWER_TIMEOUT_SECONDS = 1;

    private final InstanceExecutors mExecutors = new InstanceExecutors();
    private final EndRecords mRecords = EndRecords.of();
    private final PeerRequests mRequests =
            new PeerRequests(members(), null, mRecords, null, null, null, null, mExecutors);

    @AfterEach
    void stop() {
        mExecutors.close();
    }

    @Test
    void testRejectsRecordsImmediatelyBeforeSealsAreKnown() throws Exception {
        Envelope answer = store();
        assertThat(answer.hasStoreEndAnswer(), is(false));
    }

    @Test
    void testStoresRecordsOnceSealsAreKnown() throws Exception {
        mRecords.open();
        assertThat(store().getStoreEndAnswer().getStored(), is(true));
        assertThat(mRecords.allRecords().size(), is(1));
    }

    private Envelope store() throws Exception {
        Incarnation home = Incarnation.of(7, 9);
        EndRecord record =
                EndRecord.newBuilder()
                        .setJobName(JobName.of(SessionToken.of(home, 0), "job").toString())
                        .setDocument(ByteString.copyFromUtf8("{}"))
                        .build();
        StoreEnd request =
                StoreEnd.newBuilder()
                        .setIncarnation(MessageConverter.incarnation(home))
                        .addRecords(record)
                        .build();
        CompletableFuture<Envelope> answer = new CompletableFuture<>();
        mRequests.handle(
                Envelope.newBuilder().setStoreEnd(request).build(),
                reply -> answer.complete(reply.build()));
        return answer.get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static Members members() {
        HostAddress address = HostAddress.of("127.0.0.1", 1);
        Member self = Member.of(Incarnation.of(1, 2), DataCentre.of("one"), address, address);
        Duration withhold = Duration.ofSeconds(1);
        MembershipTiming timing =
                MembershipTiming.of(withhold, withhold.multipliedBy(2), withhold.multipliedBy(4));
        return Members.of(self, MemberTable.of(self, timing, System.nanoTime()));
    }
}
