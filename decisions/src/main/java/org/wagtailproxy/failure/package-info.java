/** Represents typed failures, which state whether the failed work was executed. */
package org.wagtailproxy.failure;
