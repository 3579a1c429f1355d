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

/** Represents one HTTP request and its answer, which may be sent from any thread. */
public final class HttpCall {

    /**
     * Maximum number of bytes beyond the limit that are read and discarded. The rest of a larger
     * body stays unread, so that the connection is reset.
     */
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
     * Returns the HTTP method.
     *
     * @return the method in upper case, never null
     */
    public String method() {
        return mExchange.getRequestMethod();
    }

    /**
     * Returns the non-empty segments of the path.
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
     * @param name the name of the parameter, not null
     * @return the first value, none if the parameter is missing
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
     * Returns a parameter of the query as a whole number.
     *
     * @param name the name of the parameter, not null
     * @param defaultValue the value if the parameter is missing
     * @param max the maximum; larger values are reduced to it
     * @return the number, or a malformed-request failure
     */
    public Either<Failure, Long> number(String name, long defaultValue, long max) {
        Option<String> text = parameter(name);
        if (text.isEmpty()) {
            return Either.right(defaultValue);
        }
        if (!text.get().matches("[0-9]{1,15}")) {
            return Either.left(
                    Failure.of(FailureKind.MALFORMED_REQUEST, name + " must be a whole number"));
        }
        return Either.right(Math.min(max, Long.parseLong(text.get())));
    }

    /**
     * Returns a header of the request.
     *
     * @param name the name of the header, not null
     * @return the first value, none if the header is missing
     */
    public Option<String> header(String name) {
        return Option.of(mExchange.getRequestHeaders().getFirst(name));
    }

    /**
     * Reads and discards the rest of a body that is too large. Closing a connection with unread
     * bytes resets it, and the reset may destroy the answer before the caller has read it.
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
     * Reads the body of the request. Blocks until it has arrived.
     *
     * @return the body, or a failure if it is too large or incomplete
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
     * @param name the name of the header, not null
     * @param value the value of the header, not null
     */
    public void setAnswerHeader(String name, String value) {
        mExchange.getResponseHeaders().set(name, value);
    }

    /**
     * Answers with status 200 and a JSON document.
     *
     * @param node the document, not null
     */
    public void answer(JsonNode node) {
        answer(OK, "application/json", Json.bytes(node));
    }

    /**
     * Answers with a problem document.
     *
     * @param failure the reason, not null
     */
    public void refuse(Failure failure) {
        answer(failure.kind().status(), Problems.MEDIA_TYPE, Problems.bytes(failure));
    }

    /**
     * Answers the call. Only the first answer is sent; later ones are ignored.
     *
     * @param status the HTTP status
     * @param mediaType the media type, not null
     * @param body the body of the answer, not null
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
        } catch (IllegalArgumentException malformed) {
            return "";
        }
    }
}
