package org.wagtailproxy.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Assembles the timeline of a job from the log lines of all instances.
 *
 * <p>The timeline contains the lines of the job in order of time, and between them context events:
 * status changes of the backend servers that the job used, of the leader and of instances.
 */
final class JobTimeline {

    /**
     * Fields that are not listed: they are in every line or are printed in columns of their own.
     */
    private static final Set<String> HIDDEN_FIELDS =
            Set.of("atMillis", "event", "instance", "incarnation", "dataCentre", "job");

    /** Events that name no job but may explain what happened to one. */
    private static final Set<String> CONTEXT_EVENTS =
            Set.of(
                    "server-held",
                    "server-released",
                    "look-failed",
                    "leader-followed",
                    "peer-lost",
                    "instance-started",
                    "instance-draining",
                    "instance-stopped",
                    "configuration-in-force",
                    "lines-dropped");

    /** Context events count up to this time before the first and after the last line of the job. */
    private static final long CONTEXT_MILLIS = 500;

    private final String mJob;
    private final List<Line> mJobLines = new ArrayList<>();
    private final List<Line> mContextLines = new ArrayList<>();

    /** Represents one parsed log line. */
    private record Line(long atMillis, JsonNode fields) {}

    JobTimeline(String job) {
        mJob = job;
    }

    /** Adds a line; text that is not a log line of this project is ignored. */
    void add(String text) {
        int begin = text.indexOf('{');
        if (begin < 0) {
            return;
        }
        JsonNode line =
                InstanceClient.parse(text.substring(begin).getBytes(StandardCharsets.UTF_8))
                        .getOrNull();
        if (line == null || !line.path("fields").has("atMillis")) {
            return;
        }
        JsonNode fields = line.path("fields");
        Line parsed = new Line(fields.path("atMillis").asLong(), fields);
        if (fields.path("job").asText().equals(mJob)) {
            mJobLines.add(parsed);
        } else if (CONTEXT_EVENTS.contains(fields.path("event").asText())) {
            mContextLines.add(parsed);
        }
    }

    boolean isEmpty() {
        return mJobLines.isEmpty();
    }

    /**
     * Returns the formatted lines of the timeline, with times relative to the first line of the
     * job.
     */
    List<String> lines() {
        Set<String> servers = new HashSet<>();
        long first = Long.MAX_VALUE;
        long last = Long.MIN_VALUE;
        for (Line line : mJobLines) {
            first = Math.min(first, line.atMillis());
            last = Math.max(last, line.atMillis());
            servers.add(line.fields().path("server").asText());
        }
        List<Line> timeline = new ArrayList<>(mJobLines);
        for (Line line : mContextLines) {
            boolean near =
                    line.atMillis() >= first - CONTEXT_MILLIS
                            && line.atMillis() <= last + CONTEXT_MILLIS;
            String server = line.fields().path("server").asText();
            if (near && (server.isEmpty() || servers.contains(server))) {
                timeline.add(line);
            }
        }
        timeline.sort(Comparator.comparingLong(Line::atMillis));
        List<String> lines = new ArrayList<>();
        for (Line line : timeline) {
            lines.add(text(line, first));
        }
        return lines;
    }

    private static String text(Line line, long first) {
        StringBuilder text = new StringBuilder();
        JsonNode fields = line.fields();
        text.append(String.format("%+7d ms  ", line.atMillis() - first));
        text.append(String.format("%-20s ", fields.path("instance").asText()));
        text.append(String.format("%-22s", fields.path("event").asText()));
        for (Map.Entry<String, JsonNode> field : fields.properties()) {
            if (!HIDDEN_FIELDS.contains(field.getKey())) {
                text.append(' ').append(field.getKey()).append('=');
                text.append(field.getValue().asText());
            }
        }
        return text.toString();
    }
}
