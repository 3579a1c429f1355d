/**
 * Bounds what clients that do not keep within any limit can take of a process: connections, memory
 * and time. Without input or output.
 */
package org.wagtailproxy.limits;
