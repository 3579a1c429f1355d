/**
 * Decides which instances exist, which may be sealed and which may publish ends. An end is the
 * final result of a job.
 */
package org.wagtailproxy.membership;
