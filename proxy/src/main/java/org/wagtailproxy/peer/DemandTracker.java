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
 * Tracks the demand that each other instance last reported, and computes from it the share of slots
 * and of team quotas that this instance may use.
 *
 * <p>Safe for use by several threads.
 */
public final class DemandTracker {

    /** Changes of up to this number of tasks do not justify an early heartbeat. */
    private static final int MAX_MINOR_CHANGE_TASKS = 8;

    private volatile int mPublishedDemand;
    private volatile List<Demand> mPublishedServices = List.of();
    private volatile List<Demand> mPublishedTeams = List.of();
    private final Members mMembers;
    private final Map<Incarnation, ReportedDemand> mReported = new ConcurrentHashMap<>();

    private DemandTracker(Members members) {
        mMembers = members;
    }

    /**
     * Creates a tracker without reported demand.
     *
     * @param members the members, not null
     * @return the tracker, never null
     */
    public static DemandTracker of(Members members) {
        return new DemandTracker(members);
    }

    /**
     * Sets the demand of this instance, which heartbeats report and which the division of slots and
     * quotas uses.
     *
     * @param demand the number of tasks over all services
     * @param services the demand for each service, not null
     * @param teams the demand of each team, not null
     */
    public void publish(int demand, List<Demand> services, List<Demand> teams) {
        mPublishedDemand = demand;
        mPublishedServices = List.copyOf(services);
        mPublishedTeams = List.copyOf(teams);
    }

    /**
     * Checks whether the demand differs enough from the published demand to be reported early.
     *
     * @param demand the current number of tasks over all services
     * @return true if it has more than doubled or fallen by more than half, and the difference is
     *     more than a few tasks
     */
    public boolean hasChangedSharply(int demand) {
        int published = mPublishedDemand;
        int difference = Math.abs(demand - published);
        return difference > MAX_MINOR_CHANGE_TASKS && 2 * difference > Math.max(demand, published);
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
     * Records the demand that a heartbeat reports.
     *
     * @param sender the sender of the heartbeat, not null
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
     * Removes the demand of instances that are no longer live members.
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
     * Returns the data by which the slots of a service are divided among instances.
     *
     * @param service the service, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return the demand of the instances of the own data centre and the slots that other data
     *     centres lend, never null
     */
    public ShareView shares(ServiceName service, long nowNanos) {
        int hash = Names.hash(service.value());
        List<Member> live = mMembers.with(table -> table.liveMembers(nowNanos));
        TreeMap<Incarnation, Integer> localDemands = new TreeMap<>();
        Map<DataCentre, Integer> idleSlots = new HashMap<>();
        Map<DataCentre, Integer> instanceCounts = new HashMap<>();
        DataCentre ownDataCentre = mMembers.self().dataCentre();
        localDemands.put(mMembers.self().incarnation(), publishedTasks(mPublishedServices, hash));
        for (Member member : live) {
            Demand demand = reportedDemand(member).mServices.get(hash);
            int tasks = demand == null ? 0 : demand.getTasks();
            if (member.dataCentre().equals(ownDataCentre)) {
                localDemands.put(member.incarnation(), tasks);
            } else {
                int slots = demand == null ? 0 : demand.getIdleSlots();
                idleSlots.merge(member.dataCentre(), slots, Integer::sum);
            }
            instanceCounts.merge(member.dataCentre(), 1, Integer::sum);
        }
        int ownIndex = localDemands.headMap(mMembers.self().incarnation()).size();
        return ShareView.of(
                new ArrayList<>(localDemands.values()),
                ownIndex,
                lendableSlots(idleSlots, instanceCounts, live.size() + 1));
    }

    /**
     * Computes this instance's share of the quota of a team. The quota is divided among data
     * centres by the number of their instances, and within a data centre by demand.
     *
     * @param team the team, not null
     * @param quota the maximum number of tasks in flight over all instances
     * @param perDataCentre the number of listed instances of each data centre, including the own
     *     one
     * @param nowNanos the monotonic time in nanoseconds
     * @return the number of tasks of the team that this instance may have in flight
     */
    public int quota(
            TeamName team, int quota, Map<DataCentre, Integer> perDataCentre, long nowNanos) {
        int hash = Names.hash(team.value());
        DataCentre ownDataCentre = mMembers.self().dataCentre();
        TreeMap<DataCentre, Integer> instancesPerDataCentre = new TreeMap<>(perDataCentre);
        int ownDataCentreIndex = instancesPerDataCentre.headMap(ownDataCentre).size();
        int localQuota =
                Shares.computeShare(
                        quota,
                        new ArrayList<>(instancesPerDataCentre.values()),
                        ownDataCentreIndex,
                        hash);
        TreeMap<Incarnation, Integer> localDemands = new TreeMap<>();
        localDemands.put(mMembers.self().incarnation(), publishedTasks(mPublishedTeams, hash));
        for (Member member : mMembers.with(table -> table.liveMembersIn(ownDataCentre, nowNanos))) {
            Demand demand = reportedDemand(member).mTeams.get(hash);
            localDemands.put(member.incarnation(), demand == null ? 0 : demand.getTasks());
        }
        int ownIndex = localDemands.headMap(mMembers.self().incarnation()).size();
        return Shares.computeShare(
                localQuota, new ArrayList<>(localDemands.values()), ownIndex, hash);
    }

    private static int publishedTasks(List<Demand> demands, int hash) {
        return demands.stream()
                .filter(demand -> demand.getNameHash() == hash)
                .mapToInt(Demand::getTasks)
                .findFirst()
                .orElse(0);
    }

    private static Map<DataCentre, Integer> lendableSlots(
            Map<DataCentre, Integer> idleSlots,
            Map<DataCentre, Integer> instanceCounts,
            int instances) {
        Map<DataCentre, Integer> lendable = new HashMap<>();
        idleSlots.forEach(
                (dataCentre, slots) -> {
                    int borrowers =
                            Math.max(1, instances - instanceCounts.getOrDefault(dataCentre, 0));
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

    /** Represents the demand that one instance reported, by the hash of the name. */
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
