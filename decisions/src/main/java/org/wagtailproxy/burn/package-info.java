/** Counts against service-level objectives and their burn rates. */
package org.wagtailproxy.burn;
