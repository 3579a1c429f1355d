package org.wagtailproxy.queue;

/**
 * Limits that the operator's configuration sets for requests of callers.
 *
 * @param maxHeaderBytes the maximum size of the header lines of a request in bytes
 * @param maxBodyBytes the maximum size of the body of a request in bytes
 * @param headerMillis the maximum time from the start of a request to the end of its header lines,
 *     in milliseconds
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerMillis) {}
