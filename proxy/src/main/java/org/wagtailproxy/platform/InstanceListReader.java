package org.wagtailproxy.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.wagtailproxy.dispatch.BackendServerId;
import org.wagtailproxy.dispatch.BackendServerListing;
import org.wagtailproxy.document.Json;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.membership.InstanceListing;

/**
 * Reads the instance list, which the platform serves as Kubernetes endpoint slices.
 *
 * <p>The label {@code kubernetes.io/service-name} contains the name of the service; {@code
 * wagtailproxy} denotes the entry instances. The label {@code wagtailproxy/slots} contains the
 * number of slots of a backend server.
 */
public final class InstanceListReader {

    /** The service name of the entry instances. */
    public static final String ENTRY_SERVICE = "wagtailproxy";

    private static final String PATH = "/apis/discovery.k8s.io/v1/endpointslices";
    private static final int DEFAULT_SLOTS = 8;

    private final PlatformHttpClient mHttp;

    private InstanceListReader(PlatformHttpClient http) {
        mHttp = http;
    }

    /**
     * Creates a reader.
     *
     * @param http calls the platform, not null
     * @return the reader, never null
     */
    public static InstanceListReader of(PlatformHttpClient http) {
        return new InstanceListReader(Objects.requireNonNull(http, "http"));
    }

    /**
     * Reads the list. Blocks and makes one call, which is counted in the metrics.
     *
     * @return the unparsed document, or a failure if the platform did not answer
     */
    public Either<Failure, byte[]> read() {
        return mHttp.get(PATH, "list").map(Json::bytes);
    }

    /**
     * Decodes a document. Entries without a valid address, zone or service name are ignored.
     *
     * @param document the document, not null
     * @return the list, or a failure if the document is not a JSON object
     */
    public static Either<Failure, InstanceList> decode(byte[] document) {
        return Json.parse(document).map(InstanceListReader::decode);
    }

    private static InstanceList decode(JsonNode node) {
        List<InstanceListing> entries = new ArrayList<>();
        Map<ServiceName, List<BackendServerListing>> backendServers = new TreeMap<>();
        for (JsonNode slice : node.path("items")) {
            JsonNode labels = slice.path("metadata").path("labels");
            String service = labels.path("kubernetes.io/service-name").asText("");
            int port = slice.path("ports").path(0).path("port").asInt();
            int slots = Math.max(1, labels.path("wagtailproxy/slots").asInt(DEFAULT_SLOTS));
            for (JsonNode endpoint : slice.path("endpoints")) {
                decode(endpoint, service, port, slots, entries, backendServers);
            }
        }
        long version = node.path("metadata").path("resourceVersion").asLong();
        return new InstanceList(version, entries, backendServers);
    }

    private static void decode(
            JsonNode endpoint,
            String service,
            int port,
            int slots,
            List<InstanceListing> entries,
            Map<ServiceName, List<BackendServerListing>> backendServers) {
        String host = endpoint.path("addresses").path(0).asText("");
        Option<HostAddress> address = HostAddress.parse(host + ":" + port);
        String zone = endpoint.path("zone").asText("");
        if (address.isEmpty() || !Names.isName(zone) || !Names.isName(service)) {
            return;
        }
        JsonNode conditions = endpoint.path("conditions");
        boolean leaving =
                conditions.path("terminating").asBoolean(false)
                        || !conditions.path("ready").asBoolean(true);
        DataCentre dataCentre = DataCentre.of(zone);
        if (service.equals(ENTRY_SERVICE)) {
            entries.add(InstanceListing.of(address.get(), dataCentre, leaving));
            return;
        }
        backendServers
                .computeIfAbsent(ServiceName.of(service), key -> new ArrayList<>())
                .add(
                        BackendServerListing.of(
                                BackendServerId.of(address.get()), dataCentre, slots, leaving));
    }
}
