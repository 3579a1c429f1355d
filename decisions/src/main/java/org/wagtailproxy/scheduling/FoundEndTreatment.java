package org.wagtailproxy.scheduling;

/** What a leader does with the end of a stored job's run that it does not track. */
public enum FoundEndTreatment {
    /** The end stays listed at its server until the stored jobs have been read. */
    RETAINED_UNREAD,
    /** The end has changed its job; it stays listed until the change is saved. */
    COUNTED,
    /** The end changes nothing: it is in the record, or its job has ended. */
    ALREADY_KNOWN
}
