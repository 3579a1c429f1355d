/** The command line {@code wagtailctl} for operators. */
package org.wagtailproxy.control;
