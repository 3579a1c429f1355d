/** Jobs at their home: acceptance, ends, replicas, hand-over and lookup. */
package org.wagtailproxy.home;
