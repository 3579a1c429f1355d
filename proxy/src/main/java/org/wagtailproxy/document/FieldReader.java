package org.wagtailproxy.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** Reads numbers from a document and keeps the first thing that is wrong. */
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

    int integer(String name, int preset, int least, int most) {
        JsonNode field = mNode.path(name);
        if (field.isMissingNode()) {
            return preset;
        }
        if (!field.isIntegralNumber() || !field.canConvertToInt()) {
            return recordProblem(name + " must be a whole number", preset);
        }
        if (field.asInt() < least || field.asInt() > most) {
            return recordProblem(name + " must be " + least + " to " + most, preset);
        }
        return field.asInt();
    }

    double decimal(String name, double preset, double least, double most) {
        JsonNode field = mNode.path(name);
        if (field.isMissingNode()) {
            return preset;
        }
        if (!field.isNumber() || field.asDouble() < least || field.asDouble() > most) {
            recordProblem(name + " must be " + least + " to " + most, 0);
            return preset;
        }
        return field.asDouble();
    }

    private int recordProblem(String detail, int preset) {
        if (mProblem == null) {
            mProblem = detail;
        }
        return preset;
    }
}
