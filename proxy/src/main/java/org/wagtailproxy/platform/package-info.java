/** Clients of the platform: its key-value service and its instance list. */
package org.wagtailproxy.platform;
