/** Tests of the documents of callers and operators. */
package org.wagtailproxy.document;
