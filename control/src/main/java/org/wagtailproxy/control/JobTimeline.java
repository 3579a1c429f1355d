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
 * The story of a job as the logs of all instances tell it: its own lines in order, and between them
 * what changed for the backend servers that it used and who led.
 */
final class JobTimeline {

    /** Fields that each line has or that are printed by themselves. */
    private static final Set<String> HIDDEN_FIELDS =
            Set.of("atMillis", "event", "instance", "incarnation", "dataCentre", "job");

    /** Events without a job that explain what happened to one. */
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

    /** Time around a job in which other events may have to do with it, in milliseconds. */
    private static final long CONTEXT_MILLIS = 500;

    private final String mJob;
    private final List<Line> mJobLines = new ArrayList<>();
    private final List<Line> mContextLines = new ArrayList<>();

    /** A line of a log. */
    private record Line(long atMillis, JsonNode fields) {}

    JobTimeline(String job) {
        mJob = job;
    }

    /** Takes a line; one that is not a log line of the product is passed over. */
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
        Line taken = new Line(fields.path("atMillis").asLong(), fields);
        if (fields.path("job").asText().equals(mJob)) {
            mJobLines.add(taken);
        } else if (CONTEXT_EVENTS.contains(fields.path("event").asText())) {
            mContextLines.add(taken);
        }
    }

    boolean isEmpty() {
        return mJobLines.isEmpty();
    }

    /** Returns the lines of the story. */
    List<String> lines() {
        Set<String> servers = new HashSet<>();
        long first = Long.MAX_VALUE;
        long last = Long.MIN_VALUE;
        for (Line line : mJobLines) {
            first = Math.min(first, line.atMillis());
            last = Math.max(last, line.atMillis());
            servers.add(line.fields().path("server").asText());
        }
        List<Line> story = new ArrayList<>(mJobLines);
        for (Line line : mContextLines) {
            boolean near =
                    line.atMillis() >= first - CONTEXT_MILLIS
                            && line.atMillis() <= last + CONTEXT_MILLIS;
            String server = line.fields().path("server").asText();
            if (near && (server.isEmpty() || servers.contains(server))) {
                story.add(line);
            }
        }
        story.sort(Comparator.comparingLong(Line::atMillis));
        List<String> lines = new ArrayList<>();
        for (Line line : story) {
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
