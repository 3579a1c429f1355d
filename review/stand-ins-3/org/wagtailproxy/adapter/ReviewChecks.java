package org.wagtailproxy.adapter;

import java.util.List;
import java.util.function.Predicate;

/** Checks of rules on the recorded runs. */
final class ReviewChecks {

    private ReviewChecks() {}

    /**
     * Checks rule TWICE. Runs of all jobs must not be at work together; those of kept jobs must not
     * begin after an end done that was taken note of.
     */
    static void checkTwice(ReviewRecord record, Predicate<ReviewRecord.Run> isKept) {
        for (List<ReviewRecord.Run> runs : record.runs()) {
            for (int first = 0; first < runs.size(); first++) {
                for (int second = first + 1; second < runs.size(); second++) {
                    check(record, runs.get(first), runs.get(second), isKept);
                }
            }
        }
    }

    private static void check(
            ReviewRecord record,
            ReviewRecord.Run former,
            ReviewRecord.Run later,
            Predicate<ReviewRecord.Run> isKept) {
        boolean hasEnded = former.mEndMillis >= 0 && former.mEndMillis <= later.mStartMillis;
        boolean isDone = former.mEnd.equals("done") && former.mNotedMillis >= 0;
        if (!hasEnded) {
            record.addBreak("TWICE: " + later + " runs beside " + former);
        } else if (isDone && isKept.test(former)) {
            record.addBreak("TWICE: " + later + " begins after " + former);
        }
    }
}
