/** Settings of one entry instance, read from an INI file and validated. */
package org.wagtailproxy.settings;
