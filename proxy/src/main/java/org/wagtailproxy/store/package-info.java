/**
 * Interface to the platform's key-value store, with local copies of parts of it and leased items.
 */
package org.wagtailproxy.store;
