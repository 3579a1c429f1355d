/** Typed failures and whether the refused work was executed. */
package org.wagtailproxy.failure;
