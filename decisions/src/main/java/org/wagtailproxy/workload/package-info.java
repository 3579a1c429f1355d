/** Specifications of jobs as callers submit them, and their progress and outcomes. */
package org.wagtailproxy.workload;
