/** Value types for the names and ids that every part of the dispatcher shares. */
package org.wagtailproxy.identity;
