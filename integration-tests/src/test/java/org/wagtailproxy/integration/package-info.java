/** Real entry processes against stand-ins, with faults between them. */
package org.wagtailproxy.integration;
