/** The life of one job: its specification, its tasks, their events and its single end. */
package org.wagtailproxy.job;
