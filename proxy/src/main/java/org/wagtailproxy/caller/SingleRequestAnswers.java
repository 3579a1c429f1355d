package org.wagtailproxy.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import org.wagtailproxy.document.Json;
import org.wagtailproxy.document.Problems;
import org.wagtailproxy.home.JobReply;
import org.wagtailproxy.http.HttpCall;

/** Answers a single request with the end (final result) of the job that ran it. */
final class SingleRequestAnswers {

    private static final int OK = 200;

    private SingleRequestAnswers() {}

    static void answer(HttpCall call, JobReply reply) {
        if (reply.failure().isDefined()) {
            call.answer(reply.status(), Problems.MEDIA_TYPE, reply.body());
            return;
        }
        JsonNode job = Json.parse(reply.body()).get();
        JsonNode failure = job.path("failure");
        if (failure.isObject()) {
            int status = failure.path("status").asInt();
            call.answer(status, Problems.MEDIA_TYPE, Json.bytes(failure));
            return;
        }
        String text = job.path("tasks").path(0).path("answer").asText();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        call.answer(OK, "text/plain; charset=utf-8", bytes);
    }
}
