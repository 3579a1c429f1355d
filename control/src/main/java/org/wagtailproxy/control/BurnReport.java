package org.wagtailproxy.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.wagtailproxy.burn.BurnCount;
import org.wagtailproxy.burn.BurnWindow;

/** Sums the burn counts of all instances and lists the instances that could not be queried. */
final class BurnReport {

    private final Map<String, Subject> mSubjects = new TreeMap<>();
    private final List<String> mQueried = new ArrayList<>();
    private final List<String> mUnreachable = new ArrayList<>();

    /** Adds the answer of one instance to {@code GET /v1/burn}. */
    void add(JsonNode answer) {
        mQueried.add(answer.path("instance").asText());
        for (JsonNode each : answer.path("subjects")) {
            Subject subject =
                    mSubjects.computeIfAbsent(each.path("subject").asText(), key -> new Subject());
            subject.mTargetPerMille =
                    Math.max(subject.mTargetPerMille, each.path("targetPerMille").asInt(1));
            for (BurnWindow window : BurnWindow.values()) {
                JsonNode counts = each.path("windows").path(window.label());
                subject.mCounts.merge(
                        window,
                        BurnCount.of(counts.path("met").asLong(), counts.path("missed").asLong()),
                        BurnCount::plus);
            }
        }
    }

    /** Records an instance that did not answer, so that the report is incomplete. */
    void addUnreachable(String address) {
        mUnreachable.add(address);
    }

    boolean isComplete() {
        return mUnreachable.isEmpty();
    }

    ObjectNode toJson() {
        ObjectNode report = JsonNodeFactory.instance.objectNode();
        report.put("whole", isComplete());
        mQueried.forEach(report.putArray("asked")::add);
        mUnreachable.forEach(report.putArray("couldNotBeAsked")::add);
        ObjectNode subjects = report.putObject("subjects");
        mSubjects.forEach(
                (name, subject) -> {
                    ObjectNode node = subjects.putObject(name);
                    node.put("targetPerMille", subject.mTargetPerMille);
                    subject.mCounts.forEach(
                            (window, count) -> {
                                ObjectNode counts = node.putObject(window.label());
                                counts.put("met", count.met());
                                counts.put("missed", count.missed());
                                counts.put("burnRate", count.burnRate(subject.mTargetPerMille));
                            });
                });
        return report;
    }

    String toText() {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        "%-28s %-7s %10s %10s %9s%n",
                        "subject", "window", "met", "missed", "burn"));
        mSubjects.forEach(
                (name, subject) ->
                        subject.mCounts.forEach(
                                (window, count) ->
                                        text.append(
                                                String.format(
                                                        "%-28s %-7s %10d %10d %9.2f%n",
                                                        name,
                                                        window.label(),
                                                        count.met(),
                                                        count.missed(),
                                                        count.burnRate(subject.mTargetPerMille)))));
        text.append("asked: ").append(mQueried.size()).append(" instances\n");
        for (String address : mUnreachable) {
            text.append("COULD NOT BE ASKED: ").append(address).append("; its jobs are missing\n");
        }
        return text.toString();
    }

    /** Represents the summed counts of one service or team. */
    private static final class Subject {
        private final Map<BurnWindow, BurnCount> mCounts = new EnumMap<>(BurnWindow.class);
        private int mTargetPerMille = 1;
    }
}
