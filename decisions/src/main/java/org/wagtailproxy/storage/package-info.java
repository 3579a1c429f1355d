/**
 * Decides when changes of stored jobs are written to the store, and which changes a write contains.
 */
package org.wagtailproxy.storage;
