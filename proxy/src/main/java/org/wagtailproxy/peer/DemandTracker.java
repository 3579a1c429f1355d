package org.wagtailproxy.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailproxy.dispatch.ShareView;
import org.wagtailproxy.dispatch.Shares;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.identity.TeamName;
import org.wagtailproxy.membership.Member;
import org.wagtailproxy.wire.Demand;
import org.wagtailproxy.wire.Heartbeat;

/**
 * Keeps the demand that the other instances last told of, and divides slots and quotas by it.
 *
 * <p>Safe for use by several threads.
 */
public final class DemandTracker {

    /** A smaller change is not worth a heartbeat of its own. */
    private static final int MIN_CHANGE_TASKS = 8;

    private volatile int mPublishedDemand;
    private volatile List<Demand> mPublishedServices = List.of();
    private volatile List<Demand> mPublishedTeams = List.of();
    private final Members mMembers;
    private final Map<Incarnation, ReportedDemand> mReported = new ConcurrentHashMap<>();

    private DemandTracker(Members members) {
        mMembers = members;
    }

    /**
     * Creates a board on which nothing is told yet.
     *
     * @param members the members, not null
     * @return the board, never null
     */
    public static DemandTracker of(Members members) {
        return new DemandTracker(members);
    }

    /**
     * Sets the own demand that heartbeats tell and that slots are divided by.
     *
     * @param demand tasks over all services
     * @param services the demand for each service, not null
     * @param teams the demand of each team, not null
     */
    public void publish(int demand, List<Demand> services, List<Demand> teams) {
        mPublishedDemand = demand;
        mPublishedServices = List.copyOf(services);
        mPublishedTeams = List.copyOf(teams);
    }

    /**
     * Tests whether the demand differs from the published one so much that it ought to be told.
     *
     * @param demand tasks over all services now
     * @return true if it has doubled or halved and differs by more than a few
     */
    public boolean hasChangedSharply(int demand) {
        int published = mPublishedDemand;
        int difference = Math.abs(demand - published);
        return difference > MIN_CHANGE_TASKS && 2 * difference > Math.max(demand, published);
    }

    /**
     * Returns the published demand for each service.
     *
     * @return an unmodifiable list, never null
     */
    public List<Demand> publishedServices() {
        return mPublishedServices;
    }

    /**
     * Returns the published demand of each team.
     *
     * @return an unmodifiable list, never null
     */
    public List<Demand> publishedTeams() {
        return mPublishedTeams;
    }

    /**
     * Notes the demand of a heartbeat.
     *
     * @param sender who told it, not null
     * @param heartbeat the heartbeat, not null
     */
    public void updateDemand(Member sender, Heartbeat heartbeat) {
        mReported.put(
                sender.incarnation(),
                new ReportedDemand(
                        byHash(heartbeat.getServiceDemandsList()),
                        byHash(heartbeat.getTeamDemandsList())));
    }

    /**
     * Forgets the instances that are not known any more.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void prune(long nowNanos) {
        List<Member> live = mMembers.with(table -> table.liveMembers(nowNanos));
        mReported
                .keySet()
                .removeIf(each -> live.stream().noneMatch(m -> m.incarnation().equals(each)));
    }

    /**
     * Divides the slots of a service.
     *
     * @param service the service, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return what this instance may use, never null
     */
    public ShareView shares(ServiceName service, long nowNanos) {
        int hash = Names.hash(service.value());
        List<Member> live = mMembers.with(table -> table.liveMembers(nowNanos));
        TreeMap<Incarnation, Integer> local = new TreeMap<>();
        Map<DataCentre, Integer> idle = new HashMap<>();
        Map<DataCentre, Integer> count = new HashMap<>();
        DataCentre home = mMembers.self().dataCentre();
        local.put(mMembers.self().incarnation(), publishedTasks(mPublishedServices, hash));
        for (Member member : live) {
            Demand demand = reportedDemand(member).mServices.get(hash);
            int tasks = demand == null ? 0 : demand.getTasks();
            if (member.dataCentre().equals(home)) {
                local.put(member.incarnation(), tasks);
            } else {
                int slots = demand == null ? 0 : demand.getIdleSlots();
                idle.merge(member.dataCentre(), slots, Integer::sum);
            }
            count.merge(member.dataCentre(), 1, Integer::sum);
        }
        int own = local.headMap(mMembers.self().incarnation()).size();
        return ShareView.of(
                new ArrayList<>(local.values()), own, lendableSlots(idle, count, live.size() + 1));
    }

    /**
     * Divides the quota of a team: evenly over data centres by their instances, and by demand
     * within one.
     *
     * @param team the team, not null
     * @param quota tasks in flight over all instances
     * @param perDataCentre listed entry instances of each data centre, the own one included
     * @param nowNanos the monotonic time in nanoseconds
     * @return how many tasks of the team this instance may have in flight
     */
    public int quota(
            TeamName team, int quota, Map<DataCentre, Integer> perDataCentre, long nowNanos) {
        int hash = Names.hash(team.value());
        DataCentre home = mMembers.self().dataCentre();
        TreeMap<DataCentre, Integer> instancesPerDataCentre = new TreeMap<>(perDataCentre);
        int ownIndex = instancesPerDataCentre.headMap(home).size();
        int localQuota =
                Shares.computeShare(
                        quota, new ArrayList<>(instancesPerDataCentre.values()), ownIndex, hash);
        TreeMap<Incarnation, Integer> local = new TreeMap<>();
        local.put(mMembers.self().incarnation(), publishedTasks(mPublishedTeams, hash));
        for (Member member : mMembers.with(table -> table.liveMembersIn(home, nowNanos))) {
            Demand demand = reportedDemand(member).mTeams.get(hash);
            local.put(member.incarnation(), demand == null ? 0 : demand.getTasks());
        }
        int own = local.headMap(mMembers.self().incarnation()).size();
        return Shares.computeShare(localQuota, new ArrayList<>(local.values()), own, hash);
    }

    private static int publishedTasks(List<Demand> demands, int hash) {
        return demands.stream()
                .filter(demand -> demand.getNameHash() == hash)
                .mapToInt(Demand::getTasks)
                .findFirst()
                .orElse(0);
    }

    private static Map<DataCentre, Integer> lendableSlots(
            Map<DataCentre, Integer> idle, Map<DataCentre, Integer> count, int instances) {
        Map<DataCentre, Integer> lendable = new HashMap<>();
        idle.forEach(
                (dataCentre, slots) -> {
                    int borrowers = Math.max(1, instances - count.getOrDefault(dataCentre, 0));
                    lendable.put(dataCentre, slots / borrowers);
                });
        return lendable;
    }

    private ReportedDemand reportedDemand(Member member) {
        return mReported.getOrDefault(member.incarnation(), ReportedDemand.NONE);
    }

    private static Map<Integer, Demand> byHash(List<Demand> demands) {
        Map<Integer, Demand> map = new HashMap<>();
        demands.forEach(demand -> map.put(demand.getNameHash(), demand));
        return map;
    }

    /** What one instance told. */
    private static final class ReportedDemand {
        private static final ReportedDemand NONE = new ReportedDemand(Map.of(), Map.of());

        private final Map<Integer, Demand> mServices;
        private final Map<Integer, Demand> mTeams;

        private ReportedDemand(Map<Integer, Demand> services, Map<Integer, Demand> teams) {
            mServices = services;
            mTeams = teams;
        }
    }
}
