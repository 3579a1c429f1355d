/** Operators as peers: resources, burn, health and metrics over HTTP. */
package org.wagtailproxy.operator;
