/** Declared resources and the merge of their versions. */
package org.wagtailproxy.configuration;
