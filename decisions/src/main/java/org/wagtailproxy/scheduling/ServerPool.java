package org.wagtailproxy.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.wagtailproxy.fleet.Order;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.fleet.ServerId;

/** The ledgers of a service's backend servers. The owner holds a lock. */
final class ServerPool {

    private final LeaseTiming mTiming;
    private final TokenSource mTokens;
    private final RunListener mRuns;
    private final int mMostEjectedOneIn;
    private final Map<ServerId, ServerLedger> mServers = new TreeMap<>();

    ServerPool(LeaseTiming timing, TokenSource tokens, RunListener runs, int mostEjectedOneIn) {
        mTiming = timing;
        mTokens = tokens;
        mRuns = runs;
        mMostEjectedOneIn = mostEjectedOneIn;
    }

    void list(Collection<ServerEntry> entries) {
        Map<ServerId, ServerEntry> listed = new HashMap<>();
        for (ServerEntry entry : entries) {
            listed.put(entry.id(), entry);
            mServers.computeIfAbsent(
                    entry.id(), id -> new ServerLedger(entry, mTiming, mTokens, mRuns));
        }
        for (ServerLedger server : mServers.values()) {
            server.list(listed.get(server.entry().id()));
        }
        mServers.values().removeIf(ServerLedger::forgettable);
    }

    void claim(Function<ServerEntry, Claim> claims) {
        for (ServerLedger server : mServers.values()) {
            server.claim(claims.apply(server.entry()));
        }
    }

    void clear() {
        mServers.clear();
    }

    /** Returns a ledger, null if the server is not known. */
    ServerLedger get(ServerId id) {
        return mServers.get(id);
    }

    Collection<ServerLedger> all() {
        return mServers.values();
    }

    int held() {
        int held = 0;
        for (ServerLedger server : mServers.values()) {
            held += server.held() ? 1 : 0;
        }
        return held;
    }

    /** Tests whether every server has told what runs there since a moment. */
    boolean allSeenSince(long nanos) {
        for (ServerLedger server : mServers.values()) {
            if (!server.seenSince(nanos)) {
                return false;
            }
        }
        return true;
    }

    /** Tests whether each of some servers has told what runs there since a moment. */
    boolean seenSince(Collection<ServerId> servers, long nanos) {
        for (ServerId id : servers) {
            ServerLedger server = mServers.get(id);
            if (server == null || !server.seenSince(nanos)) {
                return false;
            }
        }
        return true;
    }

    /** Servers that may take a task now; ejected ones only if there is hardly another. */
    List<ServerLedger> usable(long nowNanos) {
        List<ServerLedger> startable = new ArrayList<>();
        List<ServerLedger> sound = new ArrayList<>();
        for (ServerLedger server : mServers.values()) {
            if (!server.startable()) {
                continue;
            }
            startable.add(server);
            boolean probed = server.health().probing() && !server.runs().isEmpty();
            if (!server.health().ejected(nowNanos) && !probed) {
                sound.add(server);
            }
        }
        return sound.size() * mMostEjectedOneIn < startable.size() ? startable : sound;
    }

    /** Servers that are likely to take tasks soon. */
    List<ServerLedger> settling(long nowNanos) {
        List<ServerLedger> settling = new ArrayList<>();
        for (ServerLedger server : mServers.values()) {
            if (server.settling(nowNanos)) {
                settling.add(server);
            }
        }
        return settling;
    }

    List<Order> takeOrders() {
        List<Order> orders = new ArrayList<>();
        for (ServerLedger server : mServers.values()) {
            orders.addAll(server.takeOrders());
        }
        return orders;
    }
}
