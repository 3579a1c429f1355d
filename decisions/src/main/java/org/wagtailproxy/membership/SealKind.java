package org.wagtailproxy.membership;

/** Why an incarnation no longer has authority over its jobs. */
public enum SealKind {
    /** It is gone; jobs whose end no replica holds have failed. */
    LOST,
    /** It stopped as planned and handed everything over to a successor. */
    HANDED_OVER
}
