/** Decides by session windows how long a job name is accepted and remembered, and limits rates. */
package org.wagtailproxy.session;
