/**
 * Schedules jobs on the backend servers that an instance controls: admission of jobs, order of the
 * queue, placement of tasks, leases, and tracking of every run. Performs no input or output; the
 * time is passed in.
 */
package org.wagtailproxy.scheduling;
