package org.wagtailproxy.observe;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.StringMapMessage;

/** Receives the lines of the event log. */
public interface LineSink {

    /**
     * Writes or queues a line.
     *
     * @param level the level of the line, not null
     * @param message the fields of the line, not null
     * @param cause the defect that the line reports, null if there is none
     */
    void write(Level level, StringMapMessage message, Throwable cause);
}
