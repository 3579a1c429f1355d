/** Represents declared resources and merges their versions. */
package org.wagtailproxy.configuration;
