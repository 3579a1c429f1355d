package org.wagtailproxy.fleet;

/**
 * Represents the ends that a backend server may discard: those of one incarnation up to a number.
 * Another incarnation numbers its ends anew, so the number means nothing to it.
 *
 * @param incarnationStartMillis when the incarnation started, in Unix milliseconds; 0 if it has not
 *     reported it
 * @param lastNumber the number of the last end that may be discarded, 0 if there is none
 */
public record EndAcknowledgement(long incarnationStartMillis, long lastNumber) {

    /** Checks the components. */
    public EndAcknowledgement {
        if (lastNumber < 0) {
            throw new IllegalArgumentException("negative number: " + lastNumber);
        }
    }
}
