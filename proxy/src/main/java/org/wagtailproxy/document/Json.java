package org.wagtailproxy.document;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;

/** Parses and writes JSON; rejects duplicate keys and trailing tokens. */
public final class Json {

    /**
     * Maximum number of tokens in a document of a caller. A token of two bytes takes up some 40
     * bytes when it is parsed; this bounds the memory to about 8 MB. A job of 940 steps with eight
     * fields each has some 17,000 tokens.
     */
    private static final long MAX_CALLER_TOKENS = 200_000;

    private static final ObjectMapper MAPPER = mapper(new JsonFactory());

    private static final ObjectMapper CALLER_MAPPER =
            mapper(
                    JsonFactory.builder()
                            .streamReadConstraints(
                                    StreamReadConstraints.builder()
                                            .maxTokenCount(MAX_CALLER_TOKENS)
                                            .build())
                            .build());

    private Json() {}

    private static ObjectMapper mapper(JsonFactory factory) {
        return JsonMapper.builder(factory)
                .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .build();
    }

    /**
     * Creates an empty object.
     *
     * @return the object, never null
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses a JSON object.
     *
     * @param bytes the text in UTF-8, not null
     * @return the object, or a malformed-request failure
     */
    public static Either<Failure, JsonNode> parse(byte[] bytes) {
        return parse(MAPPER, bytes);
    }

    /**
     * Parses a JSON object that a caller has sent, with a bound on the memory that it takes up.
     *
     * @param bytes the text in UTF-8, not null
     * @return the object, or a malformed-request failure
     */
    public static Either<Failure, JsonNode> parseFromCaller(byte[] bytes) {
        return parse(CALLER_MAPPER, bytes);
    }

    private static Either<Failure, JsonNode> parse(ObjectMapper mapper, byte[] bytes) {
        try {
            JsonNode node = mapper.readTree(bytes);
            if (node != null && node.isObject()) {
                return Either.right(node);
            }
            return Either.left(malformed("expected a JSON object"));
        } catch (StreamConstraintsException exceeded) {
            return Either.left(malformed("beyond a limit: " + exceeded.getOriginalMessage()));
        } catch (JsonProcessingException malformed) {
            long line = malformed.getLocation() == null ? 0 : malformed.getLocation().getLineNr();
            return Either.left(malformed("not JSON, at line " + line));
        } catch (IOException failure) {
            return Either.left(malformed("not JSON"));
        }
    }

    /**
     * Writes a node as compact JSON.
     *
     * @param node the node, not null
     * @return the text in UTF-8, never null
     */
    public static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("a tree can always be written", impossible);
        }
    }

    static Failure malformed(String detail) {
        return Failure.of(FailureKind.MALFORMED_REQUEST, detail);
    }
}
