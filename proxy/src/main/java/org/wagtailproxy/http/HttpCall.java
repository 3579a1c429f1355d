package org.wagtailproxy.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.wagtailproxy.document.Json;
import org.wagtailproxy.document.Problems;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;

/** Represents one HTTP request and its answer, which may be sent from any thread. */
public final class HttpCall {

    private static final int OK = 200;

    private final HttpServer.Exchange mExchange;
    private final Executor mLoop;
    private final Runnable mOnEnd;
    private final Map<String, String> mAnswerHeaders = new HashMap<>();
    private final AtomicBoolean mAnswered = new AtomicBoolean();

    /**
     * Creates a call.
     *
     * @param exchange the request and its response, which is sent on the event loop
     * @param loop the event loop
     * @param onEnd runs on the event loop when the answer has been sent or will never be
     */
    HttpCall(HttpServer.Exchange exchange, Executor loop, Runnable onEnd) {
        mExchange = exchange;
        mLoop = loop;
        mOnEnd = onEnd;
    }

    /**
     * Returns the HTTP method.
     *
     * @return the method in upper case, never null
     */
    public String method() {
        return mExchange.method();
    }

    /**
     * Returns the non-empty segments of the path.
     *
     * @return the decoded segments, none if the request target is malformed; never null
     */
    public List<String> path() {
        String path = target().map(URI::getRawPath).getOrElse("");
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
        String query = target().flatMap(uri -> Option.of(uri.getRawQuery())).getOrElse("");
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
        String value = mExchange.header(name);
        return value.isEmpty() ? Option.none() : Option.some(value);
    }

    /**
     * Returns the body of the request.
     *
     * @return the body, never null
     */
    public byte[] body() {
        return mExchange.body();
    }

    private Option<URI> target() {
        return Try.of(() -> URI.create(mExchange.uri()))
                .toOption()
                .filter(uri -> uri.getRawPath() != null);
    }

    /**
     * Sets a header of the answer.
     *
     * @param name the name of the header, not null
     * @param value the value of the header, not null
     */
    public void setAnswerHeader(String name, String value) {
        mAnswerHeaders.put(name, value);
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
        mAnswerHeaders.put("Content-Type", mediaType);
        HttpAnswer answer = HttpListener.answer(status, mAnswerHeaders, body);
        try {
            mLoop.execute(() -> mExchange.respond(answer, mOnEnd));
        } catch (RejectedExecutionException closed) {
            // The instance has stopped, and its connections are closed.
            mOnEnd.run();
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
