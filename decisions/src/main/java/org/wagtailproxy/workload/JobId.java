package org.wagtailproxy.workload;

import io.vavr.control.Option;
import java.util.regex.Pattern;

/**
 * Identifies a job. The id is chosen by the caller, who uses the same id to submit the job again.
 *
 * @param value 16 lower-case hexadecimal digits
 */
public record JobId(String value) implements Comparable<JobId> {

    private static final Pattern FORM = Pattern.compile("[0-9a-f]{16}");

    /** Validates the format. */
    public JobId {
        if (!FORM.matcher(value).matches()) {
            throw new IllegalArgumentException("not 16 hexadecimal digits");
        }
    }

    /**
     * Parses an id; upper-case digits are not accepted.
     *
     * @param text the text, may be null
     * @return the id, or none if the text is null or not an id
     */
    public static Option<JobId> parse(String text) {
        return text != null && FORM.matcher(text).matches()
                ? Option.some(new JobId(text))
                : Option.none();
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
