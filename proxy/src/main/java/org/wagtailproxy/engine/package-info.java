/** Queues tasks, assigns them to backend servers and sends them. */
package org.wagtailproxy.engine;
