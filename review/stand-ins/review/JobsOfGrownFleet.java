package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A fleet of 16 machines accepts jobs, then four spare machines are added. Each accepted job has to
 * be known and to be worked on, since there is capacity for all of them.
 */
final class JobsOfGrownFleet extends Case {

    private static final int MACHINES = 16;
    private static final int SPARE_MACHINES = 4;
    private static final int JOBS = 6;
    private static final int TASKS = 2;
    private static final long TASK_MILLIS = 12_000;
    private static final double FINISH_SECONDS = 14;

    /** Time in which clients ask again for a job without an answer. */
    private static final double ANSWER_SECONDS = 20;

    /** Time for which a job may have nothing running. */
    private static final double IDLE_SECONDS = 3;

    private JobsOfGrownFleet() throws IOException {}

    public static void main(String[] arguments) {
        run(arguments, JobsOfGrownFleet::new);
    }

    @Override
    void play() throws Exception {
        mFleet.configure(1, 3, 2, 1500);
        mFleet.startRunners(8, 0, "pwani-a", "pwani-b", "pwani-c");
        for (int index = 0; index < MACHINES; index++) {
            mFleet.add("pwani-" + "abc".charAt(index % 3));
            sleep(0.15);
        }
        mFleet.awaitRotation(MACHINES, 30);
        sleep(3);
        List<String> accepted = new ArrayList<>();
        String body = job("ms=" + TASK_MILLIS, TASKS, 14_000, TASK_MILLIS);
        for (int number = 1; number <= JOBS; number++) {
            if (submit(jobId(number), body, anyInRotation(number), 3)) {
                accepted.add(jobId(number));
            }
        }
        Record.say("%d jobs are accepted", accepted.size());
        if (accepted.isEmpty()) {
            throw new IllegalStateException("no job is accepted");
        }
        sleep(1);
        if (mTrouble) {
            for (int index = 0; index < SPARE_MACHINES; index++) {
                mFleet.add("pwani-" + "abc".charAt((MACHINES + index) % 3));
            }
            Record.say("%d spare machines are added", SPARE_MACHINES);
        }
        // The traffic ends here. finish_s later the jobs are asked for.
        sleep(TASK_MILLIS / 1000.0 + 10 + FINISH_SECONDS);
        judge(accepted);
    }

    private void judge(List<String> accepted) {
        Map<String, String> states = new TreeMap<>();
        double end = Record.now() + ANSWER_SECONDS;
        for (int hash = 0; states.size() < accepted.size() && Record.now() < end; hash++) {
            for (String id : accepted) {
                String state = states.containsKey(id) ? "" : state(id, anyInRotation(hash));
                if (!state.isEmpty()) {
                    states.put(id, state);
                }
            }
        }
        for (String id : accepted) {
            String state = states.getOrDefault(id, "");
            int done = 0;
            for (int index = 0; index < TASKS; index++) {
                done += mFleet.mWitness.count(id + ".0.0." + index, "done") > 0 ? 1 : 0;
            }
            double lastEnd = 0;
            for (Witness.Run run : mFleet.mWitness.runsOf(id)) {
                lastEnd = Math.max(lastEnd, run.mEnded);
            }
            boolean idle =
                    done < TASKS
                            && mFleet.mWitness.active(id) == 0
                            && Record.now() - lastEnd > IDLE_SECONDS;
            Record.say(
                    "job %s: state '%s', %d of %d tasks done, %d runs, last end at %.1f s",
                    id, state, done, TASKS, mFleet.mWitness.runsOf(id).size(), lastEnd);
            if (state.isEmpty() || state.equals("410")) {
                broken("accepted job %s gets no answer in time", id);
            }
            if (idle) {
                broken(
                        "accepted job %s has had nothing running for %.1f s on idle runners",
                        id, Record.now() - lastEnd);
            }
        }
    }
}
