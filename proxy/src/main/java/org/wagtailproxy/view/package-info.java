/** What all instances share and pass on to each other: configuration and the instance list. */
package org.wagtailproxy.view;
