/** Where an instance stands between start and stop. */
package org.wagtailproxy.lifecycle;
