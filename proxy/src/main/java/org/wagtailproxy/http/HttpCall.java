package org.wagtailproxy.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.InputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.wagtailproxy.document.Json;
import org.wagtailproxy.document.Problems;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;

/** One HTTP request and its answer, which may be given from any thread. */
public final class HttpCall {

    /** A body that is larger than the limit by more than this is cut off. */
    private static final long MAX_DISCARDED_BYTES = 16L * 1024 * 1024;

    private static final int DISCARD_BUFFER_BYTES = 8192;

    private static final int OK = 200;

    private final HttpExchange mExchange;
    private final int mBodyLimit;
    private final AtomicInteger mOpenCalls;
    private final BooleanSupplier mClosing;
    private final AtomicBoolean mAnswered = new AtomicBoolean();

    HttpCall(
            HttpExchange exchange,
            int bodyLimit,
            AtomicInteger openCalls,
            BooleanSupplier closing) {
        mClosing = closing;
        mExchange = exchange;
        mBodyLimit = bodyLimit;
        mOpenCalls = openCalls;
    }

    /**
     * Returns the method.
     *
     * @return the method in upper case, never null
     */
    public String method() {
        return mExchange.getRequestMethod();
    }

    /**
     * Returns the segments of the path.
     *
     * @return the decoded segments, never null
     */
    public List<String> path() {
        String path = mExchange.getRequestURI().getRawPath();
        return Arrays.stream(path.split("/"))
                .filter(segment -> !segment.isEmpty())
                .map(HttpCall::decode)
                .toList();
    }

    /**
     * Returns a parameter of the query.
     *
     * @param name the name, not null
     * @return its value, none if it is not given
     */
    public Option<String> parameter(String name) {
        String query = mExchange.getRequestURI().getRawQuery();
        if (query == null) {
            return Option.none();
        }
        for (String pair : query.split("&")) {
            if (pair.startsWith(name + "=")) {
                return Option.some(decode(pair.substring(name.length() + 1)));
            }
        }
        return Option.none();
    }

    /**
     * Returns a whole number among the parameters.
     *
     * @param name the name, not null
     * @param preset the value if it is not given
     * @param most the largest value; larger ones count as this
     * @return the number, or a malformed-request failure
     */
    public Either<Failure, Long> number(String name, long preset, long most) {
        Option<String> text = parameter(name);
        if (text.isEmpty()) {
            return Either.right(preset);
        }
        if (!text.get().matches("[0-9]{1,15}")) {
            return Either.left(
                    Failure.of(FailureKind.MALFORMED_REQUEST, name + " must be a whole number"));
        }
        return Either.right(Math.min(most, Long.parseLong(text.get())));
    }

    /**
     * Returns a header.
     *
     * @param name the name, not null
     * @return its first value, none if it is not given
     */
    public Option<String> header(String name) {
        return Option.of(mExchange.getRequestHeaders().getFirst(name));
    }

    /**
     * Reads what a caller still sends of a body that is too large, since a connection that closes
     * with unread bytes is reset, which may destroy the answer on its way.
     */
    private static void discard(InputStream stream) throws IOException {
        byte[] buffer = new byte[DISCARD_BUFFER_BYTES];
        long left = MAX_DISCARDED_BYTES;
        int read = 0;
        while (left > 0 && read >= 0) {
            read = stream.read(buffer);
            left -= Math.max(0, read);
        }
    }

    /**
     * Reads the body; blocks until it has arrived.
     *
     * @return the body, or that it is too large or did not arrive whole
     */
    public Either<Failure, byte[]> body() {
        try (InputStream stream = mExchange.getRequestBody()) {
            byte[] body = stream.readNBytes(mBodyLimit + 1);
            if (body.length > mBodyLimit) {
                discard(stream);
                return Either.left(
                        Failure.of(FailureKind.BODY_TOO_LARGE, "at most " + mBodyLimit + " bytes"));
            }
            return Either.right(body);
        } catch (IOException failure) {
            return Either.left(
                    Failure.of(FailureKind.BODY_TRUNCATED, "the body did not arrive whole"));
        }
    }

    /**
     * Sets a header of the answer.
     *
     * @param name the name, not null
     * @param value the value, not null
     */
    public void setAnswerHeader(String name, String value) {
        mExchange.getResponseHeaders().set(name, value);
    }

    /**
     * Answers with a document.
     *
     * @param node the document, not null
     */
    public void answer(JsonNode node) {
        answer(OK, "application/json", Json.bytes(node));
    }

    /**
     * Refuses with a problem document.
     *
     * @param failure why, not null
     */
    public void refuse(Failure failure) {
        answer(failure.kind().status(), Problems.MEDIA_TYPE, Problems.bytes(failure));
    }

    /**
     * Answers; only the first answer counts.
     *
     * @param status the HTTP status
     * @param mediaType the media type, not null
     * @param body the body, not null
     */
    public void answer(int status, String mediaType, byte[] body) {
        if (!mAnswered.compareAndSet(false, true)) {
            return;
        }
        try (HttpExchange exchange = mExchange) {
            exchange.getResponseHeaders().set("Content-Type", mediaType);
            if (mClosing.getAsBoolean()) {
                exchange.getResponseHeaders().set("Connection", "close");
            }
            exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
            if (body.length > 0) {
                exchange.getResponseBody().write(body);
            }
        } catch (IOException gone) {
            mExchange.close();
        } finally {
            mOpenCalls.decrementAndGet();
        }
    }

    private static String decode(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException wrong) {
            return "";
        }
    }
}
