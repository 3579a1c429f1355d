/** Tests of the limits on clients. */
package org.wagtailproxy.limits;
