/** Turns of connections on an event loop, so that none of them keeps the others waiting. */
package org.wagtailproxy.turns;
