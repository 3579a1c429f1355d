/**
 * Elects the leader and decides which instance controls which backend server. No input or output.
 */
package org.wagtailproxy.leadership;
