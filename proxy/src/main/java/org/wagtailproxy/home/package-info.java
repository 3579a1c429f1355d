/**
 * Jobs at their home, the instance with authority over them: acceptance, ends (final results),
 * replicas of ends, hand-over of authority and lookup.
 */
package org.wagtailproxy.home;
