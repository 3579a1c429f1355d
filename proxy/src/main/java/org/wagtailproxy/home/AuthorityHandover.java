package org.wagtailproxy.home;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.membership.Member;
import org.wagtailproxy.membership.Seal;
import org.wagtailproxy.membership.SealKind;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.peer.Members;
import org.wagtailproxy.peer.MessageConverter;
import org.wagtailproxy.peer.PeerClient;
import org.wagtailproxy.peer.ViewExchange;
import org.wagtailproxy.session.SessionWindows;
import org.wagtailproxy.wire.EndRecord;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.HandOver;
import org.wagtailproxy.wire.HandOverAnswer;

/**
 * Transfers the authority over jobs, and their stored ends, to a successor at a planned stop; also
 * receives hand-overs from other instances. Methods block on the network and the store.
 *
 * <p>The successor has authority once it stores every record and has written a seal that names it
 * as the successor. If the store is unreachable, it pushes the seal directly to the other instances
 * and writes it later.
 */
public final class AuthorityHandover {

    private static final Duration PART_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration PUSH_TIMEOUT = Duration.ofMillis(500);
    private static final int PART_BYTES = 1_000_000;
    private static final int LAST_PART_ATTEMPTS = 3;

    private final OwnedIncarnations mOwned;
    private final JobService mJobs;
    private final EndRecords mRecords;
    private final Members mMembers;
    private final PeerClient mClient;
    private final SealStore mSealStore;
    private final ViewExchange mExchange;
    private final EventLog mLog;
    private final Map<Incarnation, Set<Incarnation>> mPrepared = new ConcurrentHashMap<>();
    private final Map<Incarnation, Seal> mUnwrittenSeals = new ConcurrentHashMap<>();

    private AuthorityHandover(Builder builder) {
        mOwned = builder.mOwned;
        mJobs = builder.mJobs;
        mRecords = builder.mRecords;
        mMembers = builder.mMembers;
        mClient = builder.mClient;
        mSealStore = builder.mSealStore;
        mExchange = builder.mExchange;
        mLog = builder.mLog;
    }

    /**
     * Hands over every incarnation under the authority of this instance to one successor; no job
     * may be open. Tries the live members in turn, those of the own data centre first. If it is
     * unknown whether a successor accepted, no other one is tried, because the first may have
     * authority already.
     *
     * @return true if a successor accepted them
     */
    public boolean handOver() {
        for (Member successor : successors()) {
            Outcome outcome = handOver(successor);
            if (outcome == Outcome.TAKEN) {
                transferAuthority(successor);
                return true;
            }
            if (outcome == Outcome.UNKNOWN) {
                break;
            }
        }
        mLog.event(EventName.HAND_OVER_FAILED).warn();
        return false;
    }

    /**
     * Processes one part of a hand-over from another instance. The last part of an incarnation
     * prepares the authority over it. The final part of the hand-over starts the authority over all
     * prepared incarnations of the sender.
     *
     * @param part the part, not null
     * @return the answer, which says whether the part was accepted, never null
     */
    public HandOverAnswer handlePart(HandOver part) {
        HandOverAnswer.Builder answer = HandOverAnswer.newBuilder();
        Option<Incarnation> incarnation = MessageConverter.incarnation(part.getIncarnation());
        Option<Incarnation> sender = MessageConverter.incarnation(part.getSender());
        if (incarnation.isEmpty() || sender.isEmpty() || mMembers.self().leaving()) {
            return answer.build();
        }
        boolean accepted = storeRecords(sender.get(), incarnation.get(), part.getRecordsList());
        if (accepted && part.getLast()) {
            prepare(sender.get(), incarnation.get(), part.getAgeMilliseconds());
        }
        if (accepted && part.getFinal()) {
            accepted = assumeAuthority(sender.get());
        }
        return answer.setTaken(accepted).build();
    }

    /** Writes the seals that could not be written to the store before; called periodically. */
    public void retryUnwrittenSeals() {
        for (Seal seal : mUnwrittenSeals.values()) {
            if (mSealStore.seal(seal).isRight()) {
                mUnwrittenSeals.remove(seal.incarnation());
            }
        }
    }

    private boolean storeRecords(Incarnation sender, Incarnation issuer, List<EndRecord> records) {
        long nowNanos = System.nanoTime();
        for (EndRecord record : records) {
            Either<Failure, JobName> name = JobName.parse(record.getJobName());
            boolean stored =
                    name.isRight() && mRecords.store(sender, issuer, name.get(), record, nowNanos);
            if (!stored) {
                return false;
            }
        }
        return true;
    }

    private void prepare(Incarnation sender, Incarnation incarnation, long ageMilliseconds) {
        long ageNanos = TimeUnit.MILLISECONDS.toNanos(ageMilliseconds);
        mOwned.prepare(incarnation, ageNanos, System.nanoTime());
        mPrepared.computeIfAbsent(sender, key -> ConcurrentHashMap.newKeySet()).add(incarnation);
    }

    /**
     * Seals the sender in favour of this instance, and starts the authority over all incarnations
     * that the sender handed over, including those it had received itself.
     */
    private boolean assumeAuthority(Incarnation sender) {
        Seal seal = Seal.handedOver(sender, mMembers.self());
        Either<Failure, Seal> effectiveSeal = mSealStore.seal(seal);
        if (effectiveSeal.isRight() && !namesThisInstance(effectiveSeal.get())) {
            return false;
        }
        if (effectiveSeal.isLeft()) {
            mUnwrittenSeals.put(sender, seal);
            mMembers.with(table -> table.recordSeal(seal, System.nanoTime()));
            mExchange.push(seal, PUSH_TIMEOUT);
        }
        for (Incarnation incarnation : mPrepared.getOrDefault(sender, Set.of())) {
            mRecords.recordsOf(incarnation).forEach(mJobs::addHandedOverEnd);
            mOwned.activate(incarnation);
            mLog.event(EventName.TAKEN_OVER).with(EventField.SUBJECT, incarnation).info();
        }
        mPrepared.remove(sender);
        return true;
    }

    private boolean namesThisInstance(Seal seal) {
        Incarnation self = mMembers.self().incarnation();
        return seal.kind() == SealKind.HANDED_OVER
                && seal.successor().exists(each -> each.incarnation().equals(self));
    }

    private void transferAuthority(Member successor) {
        Seal seal = Seal.handedOver(mMembers.self().incarnation(), successor);
        mMembers.with(table -> table.recordSeal(seal, System.nanoTime()));
        mOwned.allWindows().keySet().forEach(mOwned::release);
        mExchange.push(seal, PUSH_TIMEOUT).join();
        mLog.event(EventName.HANDED_OVER)
                .with(EventField.SUBJECT, seal.incarnation())
                .with(EventField.ADDRESS, successor.peerAddress())
                .info();
    }

    private Outcome handOver(Member successor) {
        Incarnation own = mMembers.self().incarnation();
        Map<Incarnation, SessionWindows> others = new HashMap<>(mOwned.allWindows());
        SessionWindows ownWindows = others.remove(own);
        for (Map.Entry<Incarnation, SessionWindows> owned : others.entrySet()) {
            Outcome outcome = handOver(owned.getKey(), owned.getValue(), successor);
            if (outcome != Outcome.TAKEN) {
                return Outcome.REFUSED;
            }
        }
        return handOver(own, ownWindows, successor);
    }

    private Outcome handOver(Incarnation incarnation, SessionWindows windows, Member successor) {
        HandOver.Builder part = newPart(incarnation);
        int bytes = 0;
        for (EndRecord record : mJobs.visibleEnds(incarnation)) {
            part.addRecords(record);
            bytes += record.getSerializedSize();
            if (bytes > PART_BYTES) {
                if (sendPart(successor, part) != Outcome.TAKEN) {
                    return Outcome.REFUSED;
                }
                part = newPart(incarnation);
                bytes = 0;
            }
        }
        part.setLast(true).setFinal(incarnation.equals(mMembers.self().incarnation()));
        return sendLast(successor, part, windows);
    }

    /**
     * Sends the last part, and repeats it if the outcome is unknown: the successor may have
     * processed it although its answer was lost.
     */
    private Outcome sendLast(Member successor, HandOver.Builder part, SessionWindows windows) {
        Outcome outcome = Outcome.UNKNOWN;
        for (int attempt = 0; attempt < LAST_PART_ATTEMPTS; attempt++) {
            long age = TimeUnit.NANOSECONDS.toMillis(windows.ageNanos(System.nanoTime()));
            part.setAgeMilliseconds(age);
            outcome = sendPart(successor, part);
            if (outcome != Outcome.UNKNOWN) {
                break;
            }
            mClient.closeConnection(successor.peerAddress());
        }
        return outcome;
    }

    private Outcome sendPart(Member successor, HandOver.Builder part) {
        Envelope.Builder request = Envelope.newBuilder().setHandOver(part);
        Either<Failure, Envelope> answer =
                mClient.call(successor.peerAddress(), request, PART_TIMEOUT).join();
        if (answer.isLeft()) {
            return answer.getLeft().kind() == FailureKind.PEER_REFUSED
                    ? Outcome.REFUSED
                    : Outcome.UNKNOWN;
        }
        return answer.get().getHandOverAnswer().getTaken() ? Outcome.TAKEN : Outcome.REFUSED;
    }

    private HandOver.Builder newPart(Incarnation incarnation) {
        return HandOver.newBuilder()
                .setSender(MessageConverter.incarnation(mMembers.self().incarnation()))
                .setIncarnation(MessageConverter.incarnation(incarnation));
    }

    private List<Member> successors() {
        Member self = mMembers.self();
        List<Member> live =
                mMembers.with(table -> table.liveMembers(System.nanoTime())).stream()
                        .filter(member -> !member.leaving())
                        .toList();
        List<Member> ordered = new ArrayList<>();
        live.stream().filter(each -> isInSameDataCentre(each, self)).forEach(ordered::add);
        live.stream().filter(each -> !isInSameDataCentre(each, self)).forEach(ordered::add);
        return ordered;
    }

    private static boolean isInSameDataCentre(Member member, Member self) {
        return member.dataCentre().equals(self.dataCentre());
    }

    /** Lists the outcomes of a hand-over to a successor candidate. */
    private enum Outcome {
        TAKEN,
        REFUSED,
        UNKNOWN
    }

    /** Builds an {@link AuthorityHandover}. */
    public static final class Builder {
        private OwnedIncarnations mOwned;
        private JobService mJobs;
        private EndRecords mRecords;
        private Members mMembers;
        private PeerClient mClient;
        private SealStore mSealStore;
        private ViewExchange mExchange;
        private EventLog mLog;

        /**
         * Sets the state that is handed over.
         *
         * @param owned the incarnations over which this instance has authority, not null
         * @param jobs the jobs of these incarnations, not null
         * @param records the replicas stored here, not null
         * @return this builder
         */
        public Builder local(OwnedIncarnations owned, JobService jobs, EndRecords records) {
            mOwned = Objects.requireNonNull(owned, "owned");
            mJobs = Objects.requireNonNull(jobs, "jobs");
            mRecords = Objects.requireNonNull(records, "records");
            return this;
        }

        /**
         * Sets the members and the means of communication with them.
         *
         * @param members the members, not null
         * @param client the client that calls them, not null
         * @param exchange pushes seals to the members, not null
         * @return this builder
         */
        public Builder remote(Members members, PeerClient client, ViewExchange exchange) {
            mMembers = Objects.requireNonNull(members, "members");
            mClient = Objects.requireNonNull(client, "client");
            mExchange = Objects.requireNonNull(exchange, "exchange");
            return this;
        }

        /**
         * Builds the hand-over.
         *
         * @param sealStore writes the seals, not null
         * @param log the event log, not null
         * @return the hand-over, never null
         */
        public AuthorityHandover build(SealStore sealStore, EventLog log) {
            mSealStore = Objects.requireNonNull(sealStore, "sealStore");
            mLog = Objects.requireNonNull(log, "log");
            return new AuthorityHandover(this);
        }
    }
}
