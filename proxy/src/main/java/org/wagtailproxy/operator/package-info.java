/** HTTP routes for operators: resources, burn, health and metrics. */
package org.wagtailproxy.operator;
