package org.wagtailproxy.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.util.AsciiString;
import java.util.Locale;
import java.util.Set;

/**
 * Keeps only the header lines that this program reads, and of those that may be repeated only what
 * a further one changes. A header of legal size may consist of thousands of short lines, each of
 * which would take up many times its length.
 */
final class SelectedHeaders extends DefaultHttpHeaders {

    /** Longest name that is looked up; avoids copies of long names. */
    private static final int MAX_NAME_CHARS = 64;

    /** Above the number of codings that there are, each of which a body has once. */
    private static final int MAX_CODINGS = 16;

    /** A request has one; two suffice for the decoder to refuse it. */
    private static final int MAX_CONTENT_LENGTHS = 2;

    /** The position of the first character that is not allowed, if there is none. */
    private static final int VALID = -1;

    private final Set<String> mHandlerNames;

    private SelectedHeaders(Set<String> handlerNames) {
        mHandlerNames = handlerNames;
    }

    /**
     * Returns a factory of headers that check names and values as the library's do by default.
     *
     * @param handlerNames the names in lower case that handlers read; the first value of each
     *     counts
     */
    static HttpHeadersFactory factory(Set<String> handlerNames) {
        Set<String> names = Set.copyOf(handlerNames);
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new SelectedHeaders(names);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new SelectedHeaders(names);
            }
        };
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        addSelected(name, value.toString());
        return this;
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        addSelected(name, value.toString());
        return this;
    }

    private void addSelected(CharSequence name, String value) {
        if (HttpHeaderValidationUtil.validateToken(name) != VALID) {
            throw new IllegalArgumentException("not a header name");
        }
        if (name.length() > MAX_NAME_CHARS) {
            return;
        }
        String lowerCase = name.toString().toLowerCase(Locale.ROOT);
        switch (lowerCase) {
            case "host" -> addUpTo(1, lowerCase, value);
            case "content-length" -> addUpTo(MAX_CONTENT_LENGTHS, lowerCase, value);
            case "transfer-encoding" -> addCodings(lowerCase, value);
            case "connection" -> {
                addOnce(lowerCase, HttpHeaderValues.CLOSE, value);
                addOnce(lowerCase, HttpHeaderValues.KEEP_ALIVE, value);
            }
            case "expect" -> addOnce(lowerCase, HttpHeaderValues.CONTINUE, value);
            default -> addFirst(lowerCase, value);
        }
    }

    private void addUpTo(int maxLines, String name, String value) {
        if (getAll(name).size() == maxLines) {
            throw new IllegalArgumentException("more than " + maxLines + " lines of " + name);
        }
        super.add(name, value);
    }

    private void addCodings(String name, String value) {
        if (!value.isBlank()) {
            addUpTo(MAX_CODINGS, name, value);
        }
    }

    /** Adds an option of a list of them if it has not been added before. */
    private void addOnce(String name, AsciiString option, String options) {
        if (AsciiString.containsIgnoreCase(options, option) && !contains(name, option, true)) {
            for (String candidate : options.split(",")) {
                if (option.contentEqualsIgnoreCase(candidate.trim())) {
                    super.add(name, option);
                    return;
                }
            }
        }
    }

    private void addFirst(String name, String value) {
        if (mHandlerNames.contains(name) && !contains(name)) {
            super.add(name, value);
        }
    }
}
