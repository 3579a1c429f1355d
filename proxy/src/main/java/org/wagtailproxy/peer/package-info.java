/**
 * Communication with the other instances: connections, heartbeats, reported demand and exchange of
 * configuration views and seals.
 */
package org.wagtailproxy.peer;
