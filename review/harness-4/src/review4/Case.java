package review4;

import java.nio.file.Path;
import java.util.Map;

/** Runs a case: exits with 10 if the rule was broken, 0 if it held, 2 if the case could not run. */
abstract class Case {

    /** Exit status if the rule was broken; one that the Java launcher itself never uses. */
    private static final int BROKEN = 10;

    protected Record mRecord;
    protected Store mStore;
    protected Fleet mFleet;
    protected final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));

    /** Returns true if the rule was broken. */
    abstract boolean isBroken() throws Exception;

    /** Returns the number of instances in each zone. */
    Map<String, Integer> instances() {
        return Map.of("pwani-a", 3, "pwani-b", 3, "pwani-c", 3);
    }

    /** Submits a job, again with the same id if it gets no answer or a refusal, until it is accepted. */
    protected void submit(Fleet.Instance instance, String job, String body) {
        for (int attempt = 0; attempt < 10; attempt++) {
            Web.Answer answer =
                    Web.call(
                            instance.front(), "POST", Fleet.HOST, Configuration.PREFIX + job, body, 5000);
            mRecord.add("POST %s: %d %s", job, answer.status(), answer.body());
            if (answer.status() == 200) {
                return;
            }
            Clock.sleep(1000);
        }
        throw new IllegalStateException("the job was not accepted");
    }

    static void run(Case each, String folder) {
        int status = 2;
        try (Record record = new Record(Path.of(folder))) {
            each.mRecord = record;
            record.add("disruption: %s", each.mTrouble ? "yes" : "no");
            try {
                each.mStore = new Store();
                each.mFleet = new Fleet(record, each.mStore, each.instances());
                boolean broken = each.isBroken();
                status = broken ? BROKEN : 0;
                record.add(broken ? "the rule was broken" : "the rule held");
            } catch (Exception failure) {
                record.add("the case could not run: %s", failure);
                failure.printStackTrace();
            }
            if (each.mFleet != null) {
                each.mFleet.close();
            }
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        Runtime.getRuntime().halt(status);
    }
}
