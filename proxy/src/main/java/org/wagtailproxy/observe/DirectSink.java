package org.wagtailproxy.observe;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/** Writes each line to the logger on the calling thread. */
final class DirectSink implements LineSink {

    private static final Logger LOGGER = LogManager.getLogger("wagtailproxy");

    @Override
    public void write(Level level, StringMapMessage message, Throwable cause) {
        LOGGER.log(level, message, cause);
    }
}
