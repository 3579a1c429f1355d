/** HTTP server for callers and operators: listening, routing, requests and answers. */
package org.wagtailproxy.http;
