package org.wagtailproxy.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;
import java.util.Optional;
import org.wagtailproxy.failure.Failure;

/**
 * Reads numeric fields of a JSON document within given bounds and records the first problem. Values
 * out of bounds are never wrapped or cut off.
 */
public final class FieldReader {

    /** Largest whole number that every JSON writer represents exactly. */
    public static final long MAX_EXACT = 1L << 53;

    private final JsonNode mNode;
    private String mProblem;

    private FieldReader(JsonNode node) {
        mNode = node;
    }

    /**
     * Creates a reader.
     *
     * @param node the object or array that has the fields, not null
     * @return the reader, never null
     */
    public static FieldReader of(JsonNode node) {
        return new FieldReader(Objects.requireNonNull(node, "node"));
    }

    /**
     * Returns the first problem.
     *
     * @return the field and its bounds, empty if all fields that were read are valid
     */
    public Optional<String> problem() {
        return Optional.ofNullable(mProblem);
    }

    /**
     * Returns the first problem as a failure.
     *
     * @return the failure, empty if all fields that were read are valid
     */
    public Optional<Failure> failure() {
        return problem().map(Json::malformed);
    }

    /**
     * Reads a required whole number.
     *
     * @param path the path of the field, names or array indices separated by slashes, not null
     * @param min the least value
     * @param max the largest value
     * @return the value, {@code min} if a problem has been recorded
     */
    public long wholeNumber(String path, long min, long max) {
        JsonNode field = mNode.at("/" + path);
        boolean inRange =
                field.isIntegralNumber()
                        && field.canConvertToLong()
                        && field.asLong() >= min
                        && field.asLong() <= max;
        if (!inRange) {
            recordProblem(path + " must be a whole number from " + min + " to " + max, 0);
            return min;
        }
        return field.asLong();
    }

    /**
     * Reads a whole number that may be missing.
     *
     * @param path the path of the field, not null
     * @param defaultValue the value of a missing field
     * @param min the least value
     * @param max the largest value
     * @return the value, {@code min} if a problem has been recorded
     */
    public long wholeNumber(String path, long defaultValue, long min, long max) {
        return isMissing(path) ? defaultValue : wholeNumber(path, min, max);
    }

    /**
     * Reads a required number and rounds it down.
     *
     * @param path the path of the field, not null
     * @param min the least value
     * @param max the largest value, at most {@link #MAX_EXACT}
     * @return the value, {@code min} if a problem has been recorded
     */
    public long roundedDown(String path, long min, long max) {
        JsonNode field = mNode.at("/" + path);
        if (!field.isNumber() || field.asDouble() < min || field.asDouble() > max) {
            recordProblem(path + " must be a number from " + min + " to " + max, 0);
            return min;
        }
        return field.asLong();
    }

    /**
     * Reads a number that may be missing and rounds it down.
     *
     * @param path the path of the field, not null
     * @param defaultValue the value of a missing field
     * @param min the least value
     * @param max the largest value, at most {@link #MAX_EXACT}
     * @return the value, {@code min} if a problem has been recorded
     */
    public long roundedDown(String path, long defaultValue, long min, long max) {
        return isMissing(path) ? defaultValue : roundedDown(path, min, max);
    }

    private boolean isMissing(String path) {
        return mNode.at("/" + path).isMissingNode();
    }

    int integer(String name, int defaultValue, int min, int max) {
        JsonNode field = mNode.path(name);
        if (field.isMissingNode()) {
            return defaultValue;
        }
        if (!field.isIntegralNumber() || !field.canConvertToInt()) {
            return recordProblem(name + " must be a whole number", defaultValue);
        }
        if (field.asInt() < min || field.asInt() > max) {
            return recordProblem(name + " must be " + min + " to " + max, defaultValue);
        }
        return field.asInt();
    }

    /**
     * Reads a number that may be missing.
     *
     * @param name the name of the field, not null
     * @param defaultValue the value of a missing field
     * @param min the least value
     * @param max the largest value
     * @return the value, the default if a problem has been recorded
     */
    public double decimal(String name, double defaultValue, double min, double max) {
        JsonNode field = mNode.path(name);
        if (field.isMissingNode()) {
            return defaultValue;
        }
        if (!field.isNumber() || field.asDouble() < min || field.asDouble() > max) {
            recordProblem(name + " must be " + min + " to " + max, 0);
            return defaultValue;
        }
        return field.asDouble();
    }

    private int recordProblem(String detail, int defaultValue) {
        if (mProblem == null) {
            mProblem = detail;
        }
        return defaultValue;
    }
}
