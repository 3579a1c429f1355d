package org.wagtailproxy.queue;

import java.util.Objects;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.workload.QueueTerms;

/**
 * A declared queue.
 *
 * @param name its name, not null
 * @param host the host that requests name, in lower case, not null
 * @param prefix what the paths of its requests begin with, not null
 * @param service whose backend servers run its jobs, not null
 * @param terms what it grants its jobs, not null
 */
public record QueueEntry(
        String name, String host, String prefix, ServiceName service, QueueTerms terms) {

    /** Checks the components. */
    public QueueEntry {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(terms, "terms");
    }
}
