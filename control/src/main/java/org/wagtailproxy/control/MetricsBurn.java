package org.wagtailproxy.control;

import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.wagtailproxy.burn.BurnCount;

/**
 * Sums the jobs that met or missed their objective, by priority, from the metrics of instances.
 *
 * <p>The metrics count since the start of each instance.
 */
final class MetricsBurn {

    private static final Pattern SAMPLE =
            Pattern.compile("wagtailproxy_job_objectives_total\\{([^}]*)} (\\S+)");

    private static final Pattern LABEL = Pattern.compile("(\\w+)=\"([^\"]*)\"");

    private final Map<String, BurnCount> mByPriority = new TreeMap<>();
    private int mSources;

    /** Adds the metrics of one instance, in the Prometheus text format. */
    void add(String text) {
        mSources++;
        text.lines().map(SAMPLE::matcher).filter(Matcher::matches).forEach(this::add);
    }

    private void add(Matcher sample) {
        Map<String, String> labels = new TreeMap<>();
        LABEL.matcher(sample.group(1))
                .results()
                .forEach(label -> labels.put(label.group(1), label.group(2)));
        long jobs = (long) Double.parseDouble(sample.group(2));
        boolean met = Boolean.parseBoolean(labels.get("met"));
        BurnCount count = met ? BurnCount.of(jobs, 0) : BurnCount.of(0, jobs);
        mByPriority.merge(
                "priority " + labels.getOrDefault("priority", "?"), count, BurnCount::plus);
    }

    /** Formats a table with a row for each priority and one for all priorities. */
    String toText(int targetPerMille) {
        StringBuilder text = new StringBuilder();
        text.append(String.format("%-28s %10s %10s %9s%n", "subject", "met", "missed", "burn"));
        BurnCount all = BurnCount.of(0, 0);
        for (Map.Entry<String, BurnCount> each : mByPriority.entrySet()) {
            all = all.plus(each.getValue());
            text.append(row(each.getKey(), each.getValue(), targetPerMille));
        }
        text.append(row("all", all, targetPerMille));
        return text.append("read: ").append(mSources).append(" instances\n").toString();
    }

    private static String row(String subject, BurnCount count, int targetPerMille) {
        return String.format(
                "%-28s %10d %10d %9.2f%n",
                subject, count.met(), count.missed(), count.burnRate(targetPerMille));
    }
}
