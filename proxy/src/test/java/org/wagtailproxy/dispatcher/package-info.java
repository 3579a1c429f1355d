/** Tests of the dispatcher, and a divided fleet of dispatchers on virtual time. */
package org.wagtailproxy.dispatcher;
