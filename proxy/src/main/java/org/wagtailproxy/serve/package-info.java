/** The daemon {@code wagtailproxy}: command line, assembly of the components, start and stop. */
package org.wagtailproxy.serve;
