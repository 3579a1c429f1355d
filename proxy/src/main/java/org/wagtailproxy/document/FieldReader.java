package org.wagtailproxy.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** Reads numeric fields of a JSON object and records the first problem. */
final class FieldReader {

    private final JsonNode mNode;
    private String mProblem;

    private FieldReader(JsonNode node) {
        mNode = node;
    }

    static FieldReader of(JsonNode node) {
        return new FieldReader(node);
    }

    Optional<String> problem() {
        return Optional.ofNullable(mProblem);
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

    double decimal(String name, double defaultValue, double min, double max) {
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
