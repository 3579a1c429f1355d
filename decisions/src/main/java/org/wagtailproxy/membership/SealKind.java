package org.wagtailproxy.membership;

/** Specifies why an incarnation no longer has authority over its jobs. */
public enum SealKind {
    /** The incarnation is gone; its jobs without a replicated end have failed. */
    LOST,
    /** The incarnation stopped as planned and handed all its jobs over to a successor. */
    HANDED_OVER
}
