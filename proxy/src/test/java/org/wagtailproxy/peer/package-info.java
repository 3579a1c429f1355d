/** Tests of the connections between instances. */
package org.wagtailproxy.peer;
