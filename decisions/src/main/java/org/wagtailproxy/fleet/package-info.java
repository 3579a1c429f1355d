/** Backend servers: their directory entries and reports, and the commands sent to them. */
package org.wagtailproxy.fleet;
