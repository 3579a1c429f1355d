package org.wagtailproxy.observe;

import java.util.Objects;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.StringMapMessage;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.settings.Settings.InstanceSettings;

/**
 * Writes events as JSON lines that carry the name, data centre and incarnation of the instance.
 *
 * <p>Lines never contain payloads.
 */
public final class EventLog {

    /** The field with the name of the event. */
    static final String EVENT = "event";

    private final String mInstance;
    private final String mDataCentre;
    private final String mIncarnation;
    private final LineSink mSink;

    private EventLog(String instance, String dataCentre, String incarnation, LineSink sink) {
        mSink = sink;
        mInstance = instance;
        mDataCentre = dataCentre;
        mIncarnation = incarnation;
    }

    /**
     * Creates the log of an instance.
     *
     * @param instance the settings that identify the instance, not null
     * @param incarnation the incarnation of the instance, not null
     * @return the log, never null
     */
    public static EventLog of(InstanceSettings instance, Incarnation incarnation) {
        return new EventLog(
                instance.name(),
                instance.dataCentre().value(),
                incarnation.toString(),
                new DirectSink());
    }

    /**
     * Creates the log of an instance that writes to a given sink.
     *
     * @param instance the name of the instance, not null
     * @param dataCentre the data centre of the instance, not null
     * @param incarnation the incarnation of the instance, not null
     * @param sink receives the lines, not null
     * @return the log, never null
     */
    public static EventLog of(
            String instance, String dataCentre, String incarnation, LineSink sink) {
        return new EventLog(instance, dataCentre, incarnation, sink);
    }

    /**
     * Creates a line for an event that happens now.
     *
     * @param name the event, not null
     * @return the line, which is written by {@link Line#info} and its siblings
     */
    public Line event(EventName name) {
        return event(name, nowMillis());
    }

    /**
     * Returns the current time of day, from which lines get their time stamps.
     *
     * @return the time in milliseconds since 1970
     */
    public long nowMillis() {
        return System.currentTimeMillis();
    }

    /**
     * Creates a line for an event that happened at a given time.
     *
     * @param name the event, not null
     * @param atMillis the time of the event, in milliseconds since 1970
     * @return the line, which is written by {@link Line#info} and its siblings
     */
    public Line event(EventName name, long atMillis) {
        Objects.requireNonNull(name, "name");
        StringMapMessage message = new StringMapMessage(8);
        message.put(EVENT, name.externalName());
        message.put("atMillis", Long.toString(atMillis));
        message.put("instance", mInstance);
        message.put("dataCentre", mDataCentre);
        message.put("incarnation", mIncarnation);
        return new Line(message);
    }

    /** Builds one line of the log; a line is written once, by its level. */
    public final class Line {

        private final StringMapMessage mMessage;

        private Line(StringMapMessage message) {
            mMessage = message;
        }

        /**
         * Adds a field.
         *
         * @param field the field, not null
         * @param value the value of the field, not null
         * @return this line
         */
        public Line with(EventField field, Object value) {
            mMessage.put(field.key(), value.toString());
            return this;
        }

        /** Writes the line at level INFO, for normal operation. */
        public void info() {
            mSink.write(Level.INFO, mMessage, null);
        }

        /** Writes the line at level DEBUG, for detailed tracing. */
        public void debug() {
            mSink.write(Level.DEBUG, mMessage, null);
        }

        /** Writes the line at level WARN, for events that an operator should examine. */
        public void warn() {
            mSink.write(Level.WARN, mMessage, null);
        }

        /**
         * Writes the line at level ERROR, for a defect.
         *
         * @param cause the exception that the defect caused, not null
         */
        public void error(Throwable cause) {
            mSink.write(Level.ERROR, mMessage, cause);
        }
    }
}
