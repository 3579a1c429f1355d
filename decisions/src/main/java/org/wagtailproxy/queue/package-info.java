/** Queues declared by operators, and the assignment of requests to queues. */
package org.wagtailproxy.queue;
