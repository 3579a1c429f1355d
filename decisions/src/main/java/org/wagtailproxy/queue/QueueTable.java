package org.wagtailproxy.queue;

import io.vavr.control.Option;
import java.util.List;
import java.util.Locale;
import java.util.Objects;

/**
 * All declared queues in one version of the configuration.
 *
 * @param version the version; later ones are higher
 * @param queues the queues, not null
 * @param maxBodyBytes the longest body that a request may have, in bytes
 * @param idleMillis how long a caller's connection may be idle, in milliseconds
 */
public record QueueTable(long version, List<QueueEntry> queues, int maxBodyBytes, long idleMillis) {

    /** Copies the list. */
    public QueueTable {
        queues = List.copyOf(queues);
    }

    /**
     * Finds the queue of a request: the one of its host with the longest prefix of its path.
     *
     * @param host the host that the request names, with or without a port, not null
     * @param path the path, not null
     * @return the queue, or none
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
