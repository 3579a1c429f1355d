package org.wagtailproxy.home;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import org.wagtailproxy.document.Json;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.membership.Member;
import org.wagtailproxy.membership.Seal;
import org.wagtailproxy.membership.SealKind;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.peer.Members;
import org.wagtailproxy.peer.ViewExchange;
import org.wagtailproxy.platform.KeyValueStore;
import org.wagtailproxy.platform.StoreEntry;
import org.wagtailproxy.platform.StoreRange;
import org.wagtailproxy.platform.StoreWrite;

/**
 * Writes and reads seals in the key-value store, and pushes new seals to the other instances.
 *
 * <p>A seal ends the authority of an incarnation over its jobs for good, because the incarnation is
 * lost or because it handed its jobs over to a successor. The first seal that is written for an
 * incarnation is the effective one. This instance also looks for a seal of itself; its absence
 * proves for a limited time that the instance is not sealed, which the publication of ends requires
 * as long as there are neighbours. Methods block on the store.
 */
public final class SealStore {

    private static final String SEAL_PREFIX = "seals/";
    private static final String INCARNATION_PREFIX = "incarnations/";
    private static final long LEASE_SECONDS = Duration.ofDays(14).toSeconds();
    private static final Duration LEASE_REUSE_PERIOD = Duration.ofDays(1);
    private static final Duration PUSH_TIMEOUT = Duration.ofMillis(500);

    private final KeyValueStore mStore;
    private final Members mMembers;
    private final ViewExchange mExchange;
    private final EventLog mLog;
    private long mLease;
    private long mLeaseNanos;
    private boolean mIncarnationRecorded;

    private SealStore(KeyValueStore store, Members members, ViewExchange exchange, EventLog log) {
        mStore = store;
        mMembers = members;
        mExchange = exchange;
        mLog = log;
    }

    /**
     * Creates a seal store.
     *
     * @param store the key-value service, not null
     * @param members the members, not null
     * @param exchange pushes seals to the other members, not null
     * @param log the event log, not null
     * @return the seal store, never null
     */
    public static SealStore of(
            KeyValueStore store, Members members, ViewExchange exchange, EventLog log) {
        Objects.requireNonNull(store, "store");
        return new SealStore(store, members, exchange, log);
    }

    /**
     * Performs the periodic work: writes the record of this incarnation until it is stored, checks
     * for a seal of this instance if that is due, and seals lost members.
     */
    public void tick() {
        writeIncarnationRecord();
        checkOwnSeal();
        for (Member lost : mMembers.with(table -> table.sealableMembers(System.nanoTime()))) {
            seal(Seal.lost(lost.incarnation()));
        }
    }

    /**
     * Seals an incarnation unless it is sealed already.
     *
     * @param seal the seal, not null
     * @return the effective seal, or the failure of the store
     */
    public Either<Failure, Seal> seal(Seal seal) {
        String key = SEAL_PREFIX + seal.incarnation();
        Either<Failure, StoreWrite> write = mStore.compareAndPut(key, 0, encode(seal), lease());
        if (write.isLeft()) {
            return read(seal.incarnation())
                    .flatMap(found -> found.toEither(write.getLeft()))
                    .peek(this::recordAndPush);
        }
        Seal effectiveSeal =
                write.get()
                        .current()
                        .flatMap(entry -> decode(seal.incarnation(), entry.value()))
                        .getOrElse(seal);
        recordAndPush(effectiveSeal);
        return Either.right(effectiveSeal);
    }

    /**
     * Reads the seal of an incarnation from the store.
     *
     * @param incarnation the incarnation, not null
     * @return the seal, none if the incarnation is not sealed, or the failure of the store
     */
    public Either<Failure, Option<Seal>> read(Incarnation incarnation) {
        return mStore.read(SEAL_PREFIX + incarnation)
                .map(range -> range.first().map(StoreEntry::value))
                .map(value -> value.flatMap(text -> decode(incarnation, text)));
    }

    /**
     * Reads the record of an incarnation that the member table does not contain.
     *
     * @param incarnation the incarnation, not null
     * @return the member as it was at its start, none if there is no record or the store did not
     *     answer
     */
    public Option<Member> readIncarnationRecord(Incarnation incarnation) {
        return mStore.read(INCARNATION_PREFIX + incarnation)
                .toOption()
                .flatMap(StoreRange::first)
                .flatMap(entry -> parse(entry.value()))
                .flatMap(SealStore::member);
    }

    /**
     * Returns a store lease that expires days after the entries written under it are last needed.
     *
     * @return the id of the lease, 0 if the store did not grant one
     */
    public synchronized long lease() {
        long nowNanos = System.nanoTime();
        boolean expired = mLease == 0 || nowNanos - mLeaseNanos > LEASE_REUSE_PERIOD.toNanos();
        if (expired) {
            mLease = mStore.grantLease(LEASE_SECONDS).getOrElse(0L);
            mLeaseNanos = nowNanos;
        }
        return mLease;
    }

    private void recordAndPush(Seal seal) {
        boolean isNew = mMembers.with(table -> table.recordSeal(seal, System.nanoTime()));
        if (!isNew) {
            return;
        }
        mLog.event(EventName.SEALED)
                .with(EventField.SUBJECT, seal.incarnation())
                .with(EventField.DETAIL, seal.kind())
                .info();
        mExchange.push(seal, PUSH_TIMEOUT);
    }

    private void writeIncarnationRecord() {
        if (mIncarnationRecorded) {
            return;
        }
        Member self = mMembers.self();
        String key = INCARNATION_PREFIX + self.incarnation();
        String value = text(encode(self));
        mIncarnationRecorded = mStore.compareAndPut(key, 0, value, lease()).isRight();
    }

    private void checkOwnSeal() {
        long nowNanos = System.nanoTime();
        if (!mMembers.with(table -> table.needsSealCheck(nowNanos))) {
            return;
        }
        read(mMembers.self().incarnation())
                .forEach(
                        found -> {
                            found.forEach(this::recordAndPush);
                            if (found.isEmpty()) {
                                mMembers.with(
                                        table -> {
                                            table.onOwnSealAbsent(nowNanos);
                                            return null;
                                        });
                            }
                        });
    }

    private static String encode(Seal seal) {
        ObjectNode node = Json.object();
        node.put("kind", seal.kind().name());
        seal.successor().forEach(successor -> node.set("successor", encode(successor)));
        return text(node);
    }

    private static ObjectNode encode(Member member) {
        ObjectNode node = Json.object();
        node.put("incarnation", member.incarnation().toString());
        node.put("dataCentre", member.dataCentre().value());
        node.put("peerAddress", member.peerAddress().toString());
        node.put("callerAddress", member.callerAddress().toString());
        return node;
    }

    private static Option<Seal> decode(Incarnation incarnation, String value) {
        return parse(value).flatMap(node -> decode(incarnation, node));
    }

    private static Option<Seal> decode(Incarnation incarnation, JsonNode node) {
        if (node.path("kind").asText("").equals(SealKind.LOST.name())) {
            return Option.some(Seal.lost(incarnation));
        }
        return member(node.path("successor")).map(next -> Seal.handedOver(incarnation, next));
    }

    private static Option<Member> member(JsonNode node) {
        Option<Incarnation> incarnation = Incarnation.parse(node.path("incarnation").asText(""));
        Option<HostAddress> peer = HostAddress.parse(node.path("peerAddress").asText(""));
        Option<HostAddress> caller = HostAddress.parse(node.path("callerAddress").asText(""));
        String dataCentre = node.path("dataCentre").asText("");
        boolean valid =
                incarnation.isDefined()
                        && peer.isDefined()
                        && caller.isDefined()
                        && Names.isName(dataCentre);
        if (!valid) {
            return Option.none();
        }
        return Option.some(
                Member.of(incarnation.get(), DataCentre.of(dataCentre), peer.get(), caller.get()));
    }

    private static Option<JsonNode> parse(String value) {
        return Json.parse(value.getBytes(StandardCharsets.UTF_8)).toOption();
    }

    private static String text(JsonNode node) {
        return new String(Json.bytes(node), StandardCharsets.UTF_8);
    }
}
