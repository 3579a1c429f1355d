/**
 * End-to-end tests, fault runs and load generators.
 *
 * <p>Entry instances run as separate processes. The platform and the backend servers are stand-ins
 * in the process of the test, and proxies on the connections inject network faults.
 */
package org.wagtailproxy.integration;
