/** The lifecycle state of an instance, from start to stop. */
package org.wagtailproxy.lifecycle;
