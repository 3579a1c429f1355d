/** The daemon: command line, wiring, start and stop. */
package org.wagtailproxy.serve;
