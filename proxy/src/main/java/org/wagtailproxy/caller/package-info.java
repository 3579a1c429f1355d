/** HTTP routes for callers: sessions, jobs and single requests. */
package org.wagtailproxy.caller;
