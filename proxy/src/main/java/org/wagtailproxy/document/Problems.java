package org.wagtailproxy.document;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.wagtailproxy.failure.Failure;

/** Writes failures as problem documents according to RFC 9457. */
public final class Problems {

    /** The media type of problem documents. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "urn:wagtailproxy:problem:";

    private Problems() {}

    /**
     * Writes a failure as a problem document.
     *
     * @param failure the failure, not null
     * @return the document in UTF-8, never null
     */
    public static byte[] bytes(Failure failure) {
        return Json.bytes(node(failure));
    }

    static ObjectNode node(Failure failure) {
        ObjectNode node = Json.object();
        node.put("type", TYPE_PREFIX + failure.kind().slug());
        node.put("title", failure.kind().slug().replace('-', ' '));
        node.put("status", failure.kind().status());
        node.put("detail", failure.detail());
        node.put("executed", failure.kind().executed().externalName());
        return node;
    }
}
