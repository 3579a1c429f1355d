/** Dispatch of queued tasks and the threads that drive it. */
package org.wagtailproxy.engine;
