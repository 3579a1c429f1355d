package org.wagtailproxy.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.Objects;
import org.wagtailproxy.burn.BurnCount;
import org.wagtailproxy.burn.BurnHistory;
import org.wagtailproxy.burn.BurnWindow;
import org.wagtailproxy.configuration.Objective;
import org.wagtailproxy.configuration.ServiceSpec;
import org.wagtailproxy.document.Json;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.http.HttpCall;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.lifecycle.Lifecycle;
import org.wagtailproxy.membership.InstanceListing;
import org.wagtailproxy.membership.Member;
import org.wagtailproxy.observe.BurnRegistry;
import org.wagtailproxy.observe.Metrics;
import org.wagtailproxy.peer.Members;
import org.wagtailproxy.view.SharedView;

/** Serves the HTTP routes for the status of an instance: health, metrics, burn and members. */
public final class StatusRoutes {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final Lifecycle mLifecycle;
    private final Members mMembers;
    private final SharedView mView;
    private final BurnRegistry mBurn;
    private final Metrics mMetrics;

    private StatusRoutes(
            Lifecycle lifecycle,
            Members members,
            SharedView view,
            BurnRegistry burn,
            Metrics metrics) {
        mLifecycle = lifecycle;
        mMembers = members;
        mView = view;
        mBurn = burn;
        mMetrics = metrics;
    }

    /**
     * Creates the routes.
     *
     * @param lifecycle the lifecycle state of the instance, not null
     * @param members the known instances, not null
     * @param view the active configuration, not null
     * @param burn the burn counts of this instance, not null
     * @param metrics the metrics, not null
     * @return the routes, never null
     */
    public static StatusRoutes of(
            Lifecycle lifecycle,
            Members members,
            SharedView view,
            BurnRegistry burn,
            Metrics metrics) {
        Objects.requireNonNull(lifecycle, "lifecycle");
        return new StatusRoutes(lifecycle, members, view, burn, metrics);
    }

    /**
     * Serves {@code GET /health/live}.
     *
     * @param call the call, not null
     */
    public void live(HttpCall call) {
        ObjectNode node = Json.object();
        node.put("live", true);
        call.answer(node);
    }

    /**
     * Serves {@code GET /health/ready}.
     *
     * @param call the call, not null
     */
    public void ready(HttpCall call) {
        ObjectNode node = Json.object();
        boolean ready = mLifecycle.isReady();
        node.put("ready", ready);
        node.put("configurationVersion", mView.completeVersion());
        node.put("instanceListVersion", mView.instanceList().version());
        if (!ready) {
            node.put("waitingFor", mLifecycle.waitingFor());
        }
        call.answer(ready ? OK : UNAVAILABLE, "application/json", Json.bytes(node));
    }

    /**
     * Serves {@code GET /metrics}.
     *
     * @param call the call, not null
     */
    public void metrics(HttpCall call) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(text, mMetrics.registry().scrape());
        } catch (IOException impossible) {
            call.refuse(Failure.of(FailureKind.INTERNAL, "metrics cannot be written"));
            return;
        }
        call.answer(OK, PrometheusTextFormatWriter.CONTENT_TYPE, text.toByteArray());
    }

    /**
     * Serves {@code GET /v1/instances}.
     *
     * @param call the call, not null
     */
    public void instances(HttpCall call) {
        ObjectNode node = Json.object();
        Member self = mMembers.self();
        ArrayNode array = node.putArray("instances");
        long nowNanos = System.nanoTime();
        writeMember(array.addObject(), self, true);
        for (Member member : mMembers.with(table -> table.members())) {
            boolean sealed = mMembers.with(table -> table.sealOf(member.incarnation()).isDefined());
            boolean live = mMembers.with(table -> table.liveMembers(nowNanos)).contains(member);
            if (!sealed) {
                writeMember(array.addObject(), member, live);
            }
        }
        ArrayNode listed = node.putArray("listedPeerAddresses");
        for (InstanceListing entry : mView.instanceList().entryInstances()) {
            listed.add(entry.peerAddress().toString());
        }
        call.answer(node);
    }

    /**
     * Serves {@code GET /v1/burn}.
     *
     * @param call the call, not null
     */
    public void burn(HttpCall call) {
        long nowNanos = System.nanoTime();
        ObjectNode node = Json.object();
        node.put("instance", mMembers.self().callerAddress().toString());
        ArrayNode subjects = node.putArray("subjects");
        for (Map.Entry<String, BurnHistory> entry : mBurn.histories().entrySet()) {
            ObjectNode subject = subjects.addObject();
            subject.put("subject", entry.getKey());
            subject.put("targetPerMille", targetPerMille(entry.getKey()));
            ObjectNode windows = subject.putObject("windows");
            for (BurnWindow window : BurnWindow.values()) {
                BurnCount count = entry.getValue().count(window, nowNanos);
                ObjectNode counts = windows.putObject(window.label());
                counts.put("met", count.met());
                counts.put("missed", count.missed());
            }
        }
        call.answer(node);
    }

    /**
     * Returns the objective of a subject. Jobs of a team go to several services, so for a team it
     * is the strictest objective of all services.
     */
    private int targetPerMille(String subject) {
        if (subject.startsWith("service/")) {
            ServiceName name = ServiceName.of(subject.substring("service/".length()));
            return mView.service(name)
                    .map(ServiceSpec::objective)
                    .map(Objective::targetPerMille)
                    .getOrElse(1);
        }
        return mView.services().values().stream()
                .mapToInt(spec -> spec.objective().targetPerMille())
                .max()
                .orElse(1);
    }

    private static void writeMember(ObjectNode node, Member member, boolean live) {
        node.put("incarnation", member.incarnation().toString());
        node.put("dataCentre", member.dataCentre().value());
        node.put("callerAddress", member.callerAddress().toString());
        node.put("peerAddress", member.peerAddress().toString());
        node.put("leaving", member.leaving());
        node.put("live", live);
    }
}
