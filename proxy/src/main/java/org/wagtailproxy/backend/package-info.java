/** Sends tasks to backend servers over HTTP. */
package org.wagtailproxy.backend;
