package org.wagtailproxy.queue;

import java.util.Objects;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.workload.QueueTerms;

/**
 * Represents a queue declared by an operator. A request belongs to it by its host and path.
 *
 * @param name its name, not null
 * @param host the host name in requests, in lower case, not null
 * @param prefix the prefix of the paths of requests, not null
 * @param service the service whose backend servers run its jobs, not null
 * @param terms the terms of its jobs, not null
 */
public record QueueEntry(
        String name, String host, String prefix, ServiceName service, QueueTerms terms) {

    /** Validates the components. */
    public QueueEntry {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(terms, "terms");
    }
}
