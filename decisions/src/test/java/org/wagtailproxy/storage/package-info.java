/** Tests of the writes of stored jobs to the store. */
package org.wagtailproxy.storage;
