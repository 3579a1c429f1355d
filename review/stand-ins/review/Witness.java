package review;

import java.util.ArrayList;
import java.util.List;

/** Keeps what the runners have started and ended. */
final class Witness {

    private final List<Run> mRuns = new ArrayList<>();

    /** A run of a task on a runner; the end is empty while it is active. */
    static final class Run {
        final String mTask;
        final long mAttempt;
        final String mRunner;
        final double mStarted;
        double mEnded;
        String mEnd = "";

        /** Whether the end was taken note of while the runner still had its lease. */
        boolean mNoted;

        private Run(String task, long attempt, String runner) {
            mTask = task;
            mAttempt = attempt;
            mRunner = runner;
            mStarted = Record.now();
        }

        String job() {
            return mTask.substring(0, 16);
        }
    }

    synchronized Run start(String task, long attempt, String runner) {
        Run run = new Run(task, attempt, runner);
        mRuns.add(run);
        Record.log("%s starts %s attempt %d", runner, task, attempt);
        return run;
    }

    synchronized void end(Run run, String end) {
        run.mEnded = Record.now();
        run.mEnd = end;
        Record.log("%s ends %s attempt %d: %s", run.mRunner, run.mTask, run.mAttempt, end);
    }

    synchronized void takeNote(Run run, long lastSeen) {
        run.mNoted = true;
        Record.log(
                "%s: the end of %s attempt %d is taken note of, last_seen %d",
                run.mRunner, run.mTask, run.mAttempt, lastSeen);
    }

    /**
     * Returns what the rule TWICE forbids for stored jobs: two runs of a task at the same time, and
     * a start after an end as done that is taken note of then or later.
     */
    synchronized List<String> runTwice() {
        List<String> found = new ArrayList<>();
        for (Run first : mRuns) {
            for (Run second : mRuns) {
                if (second == first
                        || !second.mTask.equals(first.mTask)
                        || second.mStarted < first.mStarted) {
                    continue;
                }
                if (first.mEnd.isEmpty() || second.mStarted < first.mEnded) {
                    found.add(describe(first) + " and at the same time " + describe(second));
                } else if (first.mEnd.equals("done") && first.mNoted) {
                    found.add(describe(first) + ", and again " + describe(second));
                }
            }
        }
        return found;
    }

    private static String describe(Run run) {
        return String.format(
                java.util.Locale.ROOT,
                "%s attempt %d on %s from %.3f to %.3f s (%s%s)",
                run.mTask,
                run.mAttempt,
                run.mRunner,
                run.mStarted,
                run.mEnded,
                run.mEnd,
                run.mNoted ? ", taken note of" : "");
    }

    /** Returns the runs of a job. */
    synchronized List<Run> runsOf(String job) {
        return mRuns.stream().filter(run -> run.job().equals(job)).toList();
    }

    /** Returns how many runs of a task have ended in a way. */
    synchronized int count(String task, String end) {
        return (int)
                mRuns.stream()
                        .filter(run -> run.mTask.equals(task) && run.mEnd.equals(end))
                        .count();
    }

    /** Returns how many runs of a job are active. */
    synchronized int active(String job) {
        return (int)
                mRuns.stream().filter(run -> run.job().equals(job) && run.mEnd.isEmpty()).count();
    }
}
