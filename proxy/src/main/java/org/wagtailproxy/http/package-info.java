/** What the addresses for callers and operators share. */
package org.wagtailproxy.http;
