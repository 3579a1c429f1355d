/** Callers as peers: sessions, jobs and single requests over HTTP. */
package org.wagtailproxy.caller;
