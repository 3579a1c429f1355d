/** Generated messages of the protocol between entry instances; see {@code peer.proto}. */
package org.wagtailproxy.wire;
