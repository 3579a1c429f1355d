package org.wagtailproxy.queue;

import io.vavr.control.Option;
import java.util.List;
import java.util.Locale;
import java.util.Objects;

/**
 * Holds all queues declared in one version of the configuration, with limits on requests.
 *
 * @param version the version; later ones are higher
 * @param queues the queues, not null
 * @param limits the limits on requests, not null
 */
public record QueueTable(long version, List<QueueEntry> queues, RequestLimits limits) {

    /** Makes an immutable copy of the list. */
    public QueueTable {
        Objects.requireNonNull(limits, "limits");
        queues = List.copyOf(queues);
    }

    /**
     * Finds the queue of a request: the queue of its host that has the longest matching path
     * prefix.
     *
     * @param host the host of the request, with or without a port, in any case, not null
     * @param path the path of the request, not null
     * @return the queue, none if no queue matches
     */
    public Option<QueueEntry> find(String host, String path) {
        Objects.requireNonNull(path, "path");
        int colon = host.indexOf(':');
        String hostName = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        QueueEntry found = null;
        for (QueueEntry queue : queues) {
            boolean matches = queue.host().equals(hostName) && path.startsWith(queue.prefix());
            if (matches && (found == null || queue.prefix().length() > found.prefix().length())) {
                found = queue;
            }
        }
        return Option.of(found);
    }
}
