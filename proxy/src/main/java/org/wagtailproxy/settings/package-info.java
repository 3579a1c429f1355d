/** Checked settings of one entry instance, read from an INI file. */
package org.wagtailproxy.settings;
