package org.wagtailproxy.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.wagtailproxy.fleet.Evacuations;
import org.wagtailproxy.fleet.ServerCommand;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.fleet.ServerId;

/**
 * Holds the tracked backend servers of one service, by id, and selects those that may be given
 * tasks. Not thread-safe; the owner must hold a lock.
 */
final class ServerSet {

    private final LeaseTiming mTiming;
    private final FencingTokenSource mTokens;
    private final RunListener mListener;
    private final ActionPermissions mPermissions;
    private final int mMinHealthyOneIn;
    private final Map<ServerId, BackendServer> mServers = new TreeMap<>();
    private Set<ServerId> mListed = Set.of();
    private Evacuations mEvacuations = Evacuations.UNKNOWN;

    ServerSet(
            LeaseTiming timing,
            FencingTokenSource tokens,
            RunListener listener,
            ActionPermissions permissions,
            int minHealthyOneIn) {
        mTiming = timing;
        mTokens = tokens;
        mListener = listener;
        mPermissions = permissions;
        mMinHealthyOneIn = minHealthyOneIn;
    }

    /** Updates the listed servers. Returns true if one is no longer listed. */
    boolean updateServers(Collection<ServerEntry> entries) {
        Map<ServerId, ServerEntry> listed = new HashMap<>();
        for (ServerEntry entry : entries) {
            listed.put(entry.id(), entry);
            mServers.computeIfAbsent(
                    entry.id(),
                    id -> new BackendServer(entry, mTiming, mTokens, mPermissions, mListener));
        }
        for (BackendServer server : mServers.values()) {
            server.updateEntry(listed.get(server.entry().id()));
            server.updateEvacuated(mEvacuations.contains(server.entry().dataCentre()));
        }
        mServers.values().removeIf(BackendServer::isRemovable);
        boolean removed = !listed.keySet().containsAll(mListed);
        mListed = Set.copyOf(listed.keySet());
        return removed;
    }

    void updateEvacuations(Evacuations evacuations) {
        mEvacuations = evacuations;
        for (BackendServer server : mServers.values()) {
            server.updateEvacuated(evacuations.contains(server.entry().dataCentre()));
        }
    }

    /** Checks whether there are servers but all of those that stay are evacuated. */
    boolean areAllEvacuated() {
        boolean anyEvacuated = false;
        for (BackendServer server : mServers.values()) {
            if (!server.isLeaving() && !server.isEvacuated()) {
                return false;
            }
            anyEvacuated |= server.isEvacuated();
        }
        return anyEvacuated;
    }

    void updateClaims(Function<ServerEntry, ClaimMode> claims) {
        for (BackendServer server : mServers.values()) {
            server.updateClaim(claims.apply(server.entry()));
        }
    }

    void clear() {
        mServers.clear();
    }

    /** Returns a server, null if it is not known. */
    BackendServer get(ServerId id) {
        return mServers.get(id);
    }

    Collection<BackendServer> all() {
        return mServers.values();
    }

    int countHeld() {
        int held = 0;
        for (BackendServer server : mServers.values()) {
            held += server.isHeld() ? 1 : 0;
        }
        return held;
    }

    /**
     * Offers the orphaned runs of all servers to the jobs. A task may have begun to wait since
     * their reports, because its run on one server has ended while another leader's run of it goes
     * on.
     */
    void adoptOrphans(long nowNanos) {
        mServers.values().forEach(server -> server.adoptOrphans(nowNanos));
    }

    /** Checks whether every server has answered a poll that was sent at or after a time. */
    boolean allPolledSince(long nanos) {
        for (BackendServer server : mServers.values()) {
            if (!server.polledSince(nanos)) {
                return false;
            }
        }
        return true;
    }

    /** Checks whether each given server has answered a poll sent at or after a time. */
    boolean polledSince(Collection<ServerId> servers, long nanos) {
        for (ServerId id : servers) {
            BackendServer server = mServers.get(id);
            if (server == null || !server.polledSince(nanos)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the servers that may be given a task now. Ejected servers and those with a probe in
     * progress are left out, unless fewer than one in {@code mMinHealthyOneIn} servers would
     * remain.
     */
    List<BackendServer> usable(long nowNanos) {
        List<BackendServer> accepting = new ArrayList<>();
        List<BackendServer> healthy = new ArrayList<>();
        for (BackendServer server : mServers.values()) {
            if (!server.acceptsTasks(nowNanos)) {
                continue;
            }
            accepting.add(server);
            boolean probeRunning = server.health().isProbing() && !server.runs().isEmpty();
            if (!server.health().isEjected(nowNanos) && !probeRunning) {
                healthy.add(server);
            }
        }
        return healthy.size() * mMinHealthyOneIn < accepting.size() ? accepting : healthy;
    }

    /** Returns the servers that are likely to accept tasks soon. */
    List<BackendServer> becomingAvailable(long nowNanos) {
        List<BackendServer> becomingAvailable = new ArrayList<>();
        for (BackendServer server : mServers.values()) {
            if (server.isBecomingAvailable(nowNanos)) {
                becomingAvailable.add(server);
            }
        }
        return becomingAvailable;
    }

    List<ServerCommand> takeCommands() {
        List<ServerCommand> commands = new ArrayList<>();
        for (BackendServer server : mServers.values()) {
            commands.addAll(server.takeCommands());
        }
        return commands;
    }
}
