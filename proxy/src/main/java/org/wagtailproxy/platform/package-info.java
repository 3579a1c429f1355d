/** The platform as a peer: its key-value service and its instance list. */
package org.wagtailproxy.platform;
