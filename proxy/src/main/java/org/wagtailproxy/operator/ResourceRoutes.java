package org.wagtailproxy.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Executor;
import org.wagtailproxy.configuration.Resource;
import org.wagtailproxy.configuration.ResourceId;
import org.wagtailproxy.configuration.ResourceKind;
import org.wagtailproxy.document.Json;
import org.wagtailproxy.document.ResourceDocuments;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.http.HttpCall;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.view.SharedView;

/** Serves the HTTP routes on which operators declare, read and watch resources. */
public final class ResourceRoutes {

    private static final long MAX_WAIT_MILLISECONDS = 30_000;

    private final SharedView mView;
    private final ResourceWriter mWriter;
    private final Executor mBlocking;

    private ResourceRoutes(SharedView view, ResourceWriter writer, Executor blocking) {
        mView = view;
        mWriter = writer;
        mBlocking = blocking;
    }

    /**
     * Creates the routes.
     *
     * @param view provides the active versions of resources, not null
     * @param writer writes new versions, not null
     * @param blocking runs calls that block, not null
     * @return the routes, never null
     */
    public static ResourceRoutes of(SharedView view, ResourceWriter writer, Executor blocking) {
        Objects.requireNonNull(view, "view");
        return new ResourceRoutes(view, writer, blocking);
    }

    /**
     * Serves {@code /v1/resources} and {@code /v1/resources/KIND/NAME}.
     *
     * @param call the call, not null
     */
    public void serve(HttpCall call) {
        List<String> path = call.path();
        if (path.size() == 2 && call.method().equals("GET")) {
            mBlocking.execute(() -> list(call));
            return;
        }
        Option<ResourceId> id =
                path.size() == 4 ? parseId(path.get(2), path.get(3)) : Option.none();
        if (id.isEmpty()) {
            call.refuse(
                    Failure.of(FailureKind.NO_SUCH_ADDRESS, "expected /v1/resources/KIND/NAME"));
            return;
        }
        switch (call.method()) {
            case "GET" -> get(call, id.get());
            case "PUT" -> put(call, id.get());
            case "DELETE" -> mBlocking.execute(() -> write(call, id.get(), null));
            default -> call.refuse(Failure.of(FailureKind.NO_SUCH_ADDRESS, "no such method"));
        }
    }

    private void list(HttpCall call) {
        Either<Failure, Long> after = call.number("after", 0, Long.MAX_VALUE);
        Either<Failure, Long> wait = call.number("waitMilliseconds", 0, MAX_WAIT_MILLISECONDS);
        if (after.isLeft() || wait.isLeft()) {
            call.refuse(after.isLeft() ? after.getLeft() : wait.getLeft());
            return;
        }
        try {
            List<Resource> resources = mView.awaitNewerThan(after.get(), wait.get());
            ObjectNode node = Json.object();
            node.put("completeVersion", mView.completeVersion());
            ArrayNode array = node.putArray("resources");
            resources.forEach(resource -> array.add(ResourceDocuments.write(resource)));
            call.answer(node);
        } catch (InterruptedException stopping) {
            Thread.currentThread().interrupt();
            call.refuse(Failure.of(FailureKind.DRAINING, "this instance is stopping"));
        }
    }

    private void get(HttpCall call, ResourceId id) {
        mView.find(id)
                .peek(resource -> call.answer(ResourceDocuments.write(resource)))
                .onEmpty(
                        () ->
                                call.refuse(
                                        Failure.of(
                                                FailureKind.UNKNOWN_RESOURCE,
                                                "not declared: " + id)));
    }

    private void put(HttpCall call, ResourceId id) {
        Either<Failure, JsonNode> spec = ResourceDocuments.check(id, call.body());
        if (spec.isLeft()) {
            call.refuse(spec.getLeft());
            return;
        }
        if (call.parameter("dryRun").contains("true")) {
            ObjectNode node = Json.object();
            node.put("valid", true);
            call.answer(node);
            return;
        }
        mBlocking.execute(() -> write(call, id, spec.get()));
    }

    private void write(HttpCall call, ResourceId id, JsonNode spec) {
        if (call.parameter("resourceVersion").isEmpty()) {
            call.refuse(
                    Failure.of(
                            FailureKind.MALFORMED_REQUEST,
                            "resourceVersion is required, 0 for a new resource"));
            return;
        }
        call.number("resourceVersion", 0, Long.MAX_VALUE)
                .flatMap(version -> mWriter.write(id, spec, version))
                .peek(resource -> call.answer(ResourceDocuments.write(resource)))
                .peekLeft(call::refuse);
    }

    private static Option<ResourceId> parseId(String kind, String name) {
        return ResourceKind.parse(kind)
                .filter(each -> Names.isName(name))
                .map(each -> ResourceId.of(each, name));
    }
}
