/** Session windows, which bound how long a job name is accepted and remembered. */
package org.wagtailproxy.session;
