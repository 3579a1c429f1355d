/** Decides for how long an instance may coordinate the stored jobs, and when the next one may. */
package org.wagtailproxy.coordination;
