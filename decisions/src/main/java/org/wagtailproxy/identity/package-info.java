/** Provides value types for the names and ids that all parts of the dispatcher use. */
package org.wagtailproxy.identity;
