/** Other entry instances as peers: connections, heartbeats and exchanged views. */
package org.wagtailproxy.peer;
