/**
 * Tracks one job: its specification, its tasks, their events and its end, which is its final
 * result.
 */
package org.wagtailproxy.job;
