package org.wagtailproxy.integration;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Describes a user's deployment and load at its present size.
 *
 * @param name the name on the command line
 * @param dataCentres the number of data centres
 * @param entriesPerDataCentre the number of entry instances in each data centre
 * @param slowdowns the slowdown of each backend server of a data centre
 * @param spec the fields of the service resource as the operators declare it, without the policy
 */
record LoadShape(
        String name, int dataCentres, int entriesPerDataCentre, double[] slowdowns, String spec) {

    private static final int SLOTS_PER_SERVER = 8;
    private static final double MEAN_TASK_MILLISECONDS = 238;

    /** A user for whom response time matters more than wasted messages. */
    static final LoadShape MCHANGA =
            new LoadShape(
                    "mchanga",
                    3,
                    3,
                    new double[] {1, 1, 1.5, 2, 2, 3, 4, 5, 6, 8},
                    "\"overcommitPercent\": 100, \"patience\": 0.5,"
                            + " \"taskTimeoutMilliseconds\": 60000");

    /** A user for whom wasted messages matter more than response time. */
    static final LoadShape LIMPIASOL =
            new LoadShape(
                    "limpiasol",
                    4,
                    2,
                    new double[] {1, 1, 1.5, 2, 3, 4, 6, 8},
                    "\"overcommitPercent\": 0, \"patience\": 1,"
                            + " \"taskTimeoutMilliseconds\": 60000");

    static LoadShape named(String name) {
        return name.equals(LIMPIASOL.name()) ? LIMPIASOL : MCHANGA;
    }

    /** Returns the number of tasks per second that keeps all slots of all backend servers busy. */
    double maxTasksPerSecond() {
        double rate = 0;
        for (double slowdown : slowdowns) {
            rate += SLOTS_PER_SERVER / (slowdown * MEAN_TASK_MILLISECONDS / 1000);
        }
        return rate * dataCentres;
    }

    /** Draws the run times of the tasks of a job: mostly a few tasks, sometimes up to 940. */
    static List<Integer> drawTaskMilliseconds(SplittableRandom random) {
        double draw = random.nextDouble();
        int count;
        if (draw < 0.6) {
            count = 1 + random.nextInt(5);
        } else if (draw < 0.9) {
            count = 5 + random.nextInt(45);
        } else if (draw < 0.995) {
            count = 50 + random.nextInt(150);
        } else {
            count = 940;
        }
        List<Integer> tasks = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            tasks.add(drawMilliseconds(random));
        }
        return tasks;
    }

    /** Returns the mean number of tasks that {@link #drawTaskMilliseconds} draws. */
    static double meanTasksPerJob() {
        return 0.6 * 3 + 0.3 * 27 + 0.095 * 124.5 + 0.005 * 940;
    }

    private static int drawMilliseconds(SplittableRandom random) {
        double draw = random.nextDouble();
        if (draw < 0.9) {
            return 50 + random.nextInt(250);
        }
        return draw < 0.99 ? 300 + random.nextInt(700) : 1000 + random.nextInt(2000);
    }
}
