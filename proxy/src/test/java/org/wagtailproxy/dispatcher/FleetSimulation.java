package org.wagtailproxy.dispatcher;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.wagtailproxy.fleet.EndKind;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.TaskId;

/**
 * A fleet of whole dispatchers with its backend servers, callers and faults, all drawn from a seed.
 * Records a violation if a task runs twice at once, if a refused job runs, and if a caller is
 * answered twice or without all tasks of its job.
 */
final class FleetSimulation implements SimulatedServer.Runs {

    /** 21 instances, above the number from which a fleet is divided. */
    static final Size DIVIDED = new Size(List.of("pwani-a", "pwani-b", "pwani-c"), 7);

    /** Eight instances, which make one pool. */
    static final Size POOLED = new Size(List.of("pwani-a", "pwani-b", "pwani-c", "pwani-d"), 2);

    /** 37 instances in five data centres, two of which have one more, and 65 servers. */
    static final Size SITE =
            new Size(List.of("pwani-a", "pwani-b", "pwani-c", "pwani-d", "pwani-e"), 7, 2, 13);

    private static final int SERVERS_PER_DATA_CENTRE = 3;
    private static final int SERVERS_OF_LARGE_DATA_CENTRE = 13;
    private static final int TRACE_LINES = 150;

    final VirtualTime mTime;
    final SimulatedNetwork mNetwork;
    final SimulatedStore mStore;
    final Map<String, SimulatedInstance> mInstances = new LinkedHashMap<>();
    final Map<ServerId, SimulatedServer> mServers = new TreeMap<>();
    private final SimulatedCallers mCallers;
    private FleetFaults mFaults;
    private boolean mStoredJobs;
    private final Set<TaskId> mDone = new HashSet<>();
    private final DoneTasks mDoneTasks = new DoneTasks(this);
    private final Set<JobId> mStartedJobs = new HashSet<>();
    private final List<String> mWords = new ArrayList<>();
    private Consumer<SimulatedInstance> mOnNextLeader;
    int mStarts;
    int mRemoteStarts;

    /**
     * The size of a fleet.
     *
     * @param dataCentres the names of the data centres
     * @param instancesPerDataCentre how many instances each of them has
     * @param largerDataCentres how many of them have one more instance
     * @param serversPerDataCentre how many servers each of them has
     */
    record Size(
            List<String> dataCentres,
            int instancesPerDataCentre,
            int largerDataCentres,
            int serversPerDataCentre) {

        Size(List<String> dataCentres, int instancesPerDataCentre) {
            this(dataCentres, instancesPerDataCentre, 0, SERVERS_PER_DATA_CENTRE);
        }

        /** Of many servers, most have few slots, so that the leaders still forward jobs. */
        int slotsOf(int serverNumber) {
            return serversPerDataCentre < SERVERS_OF_LARGE_DATA_CENTRE
                    ? SimulatedServer.SLOTS
                    : serverNumber % 6 == 0 ? 2 : 1;
        }
    }

    static Size sizeOf(String name) {
        return switch (name) {
            case "DIVIDED" -> DIVIDED;
            case "POOLED" -> POOLED;
            case "SITE" -> SITE;
            default -> throw new IllegalArgumentException("no size of a fleet: " + name);
        };
    }

    FleetSimulation(long seed, Size size, FleetFaults.Options options) {
        this(seed, size);
        mFaults = new FleetFaults(this, size.dataCentres(), options);
        mFaults.schedule();
    }

    /** Creates a fleet without faults, whose callers only send jobs if {@link #run} is called. */
    FleetSimulation(long seed, Size size) {
        mTime = new VirtualTime(seed);
        mNetwork = new SimulatedNetwork(mTime);
        mStore = new SimulatedStore(mTime, mNetwork);
        for (String dataCentre : size.dataCentres()) {
            for (int number = 1; number <= size.serversPerDataCentre(); number++) {
                list(addServer(dataCentre, size.slotsOf(number)));
            }
        }
        for (int number = 1; number <= size.instancesPerDataCentre(); number++) {
            size.dataCentres().forEach(this::addStartingInstance);
        }
        size.dataCentres().stream()
                .limit(size.largerDataCentres())
                .forEach(this::addStartingInstance);
        mCallers = new SimulatedCallers(this, size.dataCentres());
    }

    /** Adds a server of the next name, which is still to be listed. */
    SimulatedServer addServer(String dataCentre, int slots) {
        long number =
                1
                        + mServers.values().stream()
                                .filter(each -> each.mHost.dataCentre().equals(dataCentre))
                                .count();
        String name = "server-" + dataCentre + "-" + number;
        SimulatedServer server = new SimulatedServer(mTime, name, dataCentre, slots, this);
        mServers.put(server.mId, server);
        return server;
    }

    private void addStartingInstance(String dataCentre) {
        SimulatedInstance instance = addInstance(dataCentre);
        mTime.after(mTime.between(0, 1500), instance::start);
    }

    /** Adds an instance of the next name, which is still to be started. */
    SimulatedInstance addInstance(String dataCentre) {
        int number =
                1
                        + Math.toIntExact(
                                mInstances.values().stream()
                                        .filter(each -> each.mHost.dataCentre().equals(dataCentre))
                                        .count());
        String name = "front-" + dataCentre + "-" + number;
        SimulatedInstance instance =
                new SimulatedInstance(
                        mTime,
                        mNetwork,
                        mStore,
                        mServers,
                        mInstances,
                        new SimulatedNetwork.Host(name, dataCentre));
        mInstances.put(name, instance);
        instance.onLeader(
                () -> {
                    Consumer<SimulatedInstance> work = mOnNextLeader;
                    mOnNextLeader = null;
                    if (work != null) {
                        work.accept(instance);
                    }
                });
        return instance;
    }

    /** Sets what is run with the next instance that becomes leader, or null for nothing. */
    void onNextLeader(Consumer<SimulatedInstance> work) {
        mOnNextLeader = work;
    }

    /** Writes the entry of a server as its heartbeat does. */
    void list(SimulatedServer server) {
        server.mListedMillis = mTime.nowMillis();
        String value = server.mId + (server.mLeaving ? SimulatedInstance.LEAVING : "");
        mStore.put(
                SimulatedInstance.SERVERS_PREFIX + server.mId,
                value.getBytes(StandardCharsets.UTF_8));
    }

    /** Lets callers whose connection is reset send their jobs again at once. */
    void resetCallers() {
        mCallers.resetConnections();
    }

    void run(long millis) {
        mCallers.schedule();
        mTime.run(millis);
        mCallers.checkRefusals(mStartedJobs);
    }

    /** Lets callers send stored jobs as well. */
    void sendStoredJobs() {
        mStoredJobs = true;
        mCallers.sendStoredJobs();
    }

    boolean hasStoredJobs() {
        return mStoredJobs;
    }

    /** Ends faults and load, and checks after a time that all accepted stored jobs have ended. */
    void settle(long millis) {
        mFaults.end();
        mCallers.finish();
        mTime.run(mTime.nowMillis() + millis);
        for (JobId job : mCallers.acceptedJobs()) {
            List<TaskId> tasks = mCallers.tasks(job);
            boolean hasEnded =
                    tasks.stream().allMatch(mDone::contains)
                            || tasks.stream().anyMatch(mDoneTasks::hasFailedForGood);
            if (!hasEnded) {
                violation(job, "LOST, accepted and not done:");
            }
        }
    }

    int completed() {
        return mCallers.mCompleted;
    }

    boolean isDone(TaskId task) {
        return mDone.contains(task);
    }

    boolean hasStarted(JobId job) {
        return mStartedJobs.contains(job);
    }

    List<SimulatedInstance> upInstances() {
        return mInstances.values().stream().filter(SimulatedInstance::isUp).toList();
    }

    @Override
    public void onStarted(TaskId task, SimulatedServer server, SimulatedServer.Run run) {
        mStarts++;
        mStartedJobs.add(task.job());
        mDoneTasks.onStarted(task, run);
        String dataCentre = server.mHost.dataCentre();
        if (mCallers.isRemote(task.job(), dataCentre)) {
            mRemoteStarts++;
        }
        mTime.note(server.mId + " starts " + task + " " + run);
        for (SimulatedServer other : mServers.values()) {
            SimulatedServer.Run second = other.mRunning.get(task);
            if (other != server && second != null) {
                mWords.add(task.job().value());
                mTime.violation(
                        "TWICE "
                                + task
                                + ": "
                                + second
                                + " on "
                                + other.mId
                                + ", "
                                + run
                                + " on "
                                + server.mId);
            }
        }
    }

    @Override
    public void onEnded(TaskId task, SimulatedServer server, SimulatedServer.Run run, EndKind end) {
        mTime.note(server.mId + " ends " + task + " run " + run.attempt() + " " + end);
        if (end == EndKind.DONE) {
            mDone.add(task);
            mDoneTasks.onDone(task, run);
        } else if (end == EndKind.FAILED) {
            mDoneTasks.onFailed(task);
        }
    }

    @Override
    public void onAcknowledged(TaskId task, int attempt, EndKind end) {
        if (end == EndKind.DONE) {
            mDoneTasks.onAcknowledged(task, attempt);
        }
    }

    /** Records that a job is a stored one, of which no done task may be started again. */
    void onStoredJobSubmitted(JobId job) {
        mDoneTasks.addStoredJob(job);
    }

    void violation(JobId job, String text) {
        mWords.add(job.value());
        mTime.violation(text + " " + job);
    }

    /** Returns the violations with the part of the trace that concerns them. */
    String report() {
        if (mTime.mViolations.isEmpty()) {
            return "";
        }
        List<String> words = new ArrayList<>(mWords);
        words.addAll(FleetFaults.TRACED_WORDS);
        List<String> lines = mTime.trace(words);
        return String.join("\n", mTime.mViolations)
                + "\n  "
                + String.join(
                        "\n  ",
                        lines.subList(Math.max(0, lines.size() - TRACE_LINES), lines.size()));
    }
}
