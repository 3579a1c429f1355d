/** Backend servers as peers: sending tasks over HTTP. */
package org.wagtailproxy.backend;
