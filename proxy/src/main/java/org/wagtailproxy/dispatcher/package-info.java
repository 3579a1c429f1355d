/**
 * The dispatcher: submits the jobs of callers to the leader of the pool, schedules them there on
 * backend servers, and returns the outcomes to the callers.
 */
package org.wagtailproxy.dispatcher;
