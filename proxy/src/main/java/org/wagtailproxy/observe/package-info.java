/** Logs, metrics and burn counts. */
package org.wagtailproxy.observe;
