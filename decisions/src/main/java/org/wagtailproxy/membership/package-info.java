/** Which entry instances exist, which may be sealed and which may publish ends. */
package org.wagtailproxy.membership;
