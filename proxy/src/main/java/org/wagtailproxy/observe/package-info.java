/** Event log, metrics and burn counts of an instance. */
package org.wagtailproxy.observe;
