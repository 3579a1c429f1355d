/** The command-line tool {@code wagtailctl} for operators. */
package org.wagtailproxy.control;
