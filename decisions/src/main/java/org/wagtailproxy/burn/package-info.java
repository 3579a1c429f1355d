/** Counts jobs that meet or miss service-level objectives and computes burn rates. */
package org.wagtailproxy.burn;
