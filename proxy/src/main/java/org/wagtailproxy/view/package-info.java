/** The state that instances replicate among each other: the configuration and the instance list. */
package org.wagtailproxy.view;
