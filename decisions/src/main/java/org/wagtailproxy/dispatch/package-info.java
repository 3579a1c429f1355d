/** Decides which backend server runs which task, and when: queues, shares, ejection and retries. */
package org.wagtailproxy.dispatch;
