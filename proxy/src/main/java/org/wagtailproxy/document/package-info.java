/** Reads and writes the JSON documents of jobs, resources and problems. */
package org.wagtailproxy.document;
