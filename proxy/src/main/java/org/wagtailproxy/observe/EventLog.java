package org.wagtailproxy.observe;

import java.util.Objects;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.StringMapMessage;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.settings.Settings.InstanceSettings;

/** Writes events as JSON lines that carry the ids of the instance; never payloads. */
public final class EventLog {

    /** The field that names the event. */
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
     * @param instance who it is, not null
     * @param incarnation its incarnation, not null
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
     * Creates the log of an instance that is known by its name.
     *
     * @param instance its name, not null
     * @param dataCentre where it stands, not null
     * @param incarnation identifies its life, not null
     * @param sink where lines go, not null
     * @return the log, never null
     */
    public static EventLog of(
            String instance, String dataCentre, String incarnation, LineSink sink) {
        return new EventLog(instance, dataCentre, incarnation, sink);
    }

    /**
     * Begins a line.
     *
     * @param name the event, not null
     * @return the line, to be written by one of its methods
     */
    public Line event(EventName name) {
        return event(name, nowMillis());
    }

    /**
     * Returns the time of day that lines carry.
     *
     * @return the time in milliseconds since 1970
     */
    public long nowMillis() {
        return System.currentTimeMillis();
    }

    /**
     * Begins a line for what happened before.
     *
     * @param name the event, not null
     * @param atMillis when it happened, in milliseconds since 1970
     * @return the line, to be written by one of its methods
     */
    public Line event(EventName name, long atMillis) {
        Objects.requireNonNull(name, "name");
        StringMapMessage message = new StringMapMessage(8);
        message.put(EVENT, name.word());
        message.put("atMillis", Long.toString(atMillis));
        message.put("instance", mInstance);
        message.put("dataCentre", mDataCentre);
        message.put("incarnation", mIncarnation);
        return new Line(message);
    }

    /** One line in the making. */
    public final class Line {

        private final StringMapMessage mMessage;

        private Line(StringMapMessage message) {
            mMessage = message;
        }

        /**
         * Adds a field.
         *
         * @param field which field, not null
         * @param value its value, not null
         * @return this line
         */
        public Line with(EventField field, Object value) {
            mMessage.put(field.key(), value.toString());
            return this;
        }

        /** Writes the line as a matter of course. */
        public void info() {
            mSink.write(Level.INFO, mMessage, null);
        }

        /** Writes the line for tracing only. */
        public void debug() {
            mSink.write(Level.DEBUG, mMessage, null);
        }

        /** Writes the line as something to look at. */
        public void warn() {
            mSink.write(Level.WARN, mMessage, null);
        }

        /**
         * Writes the line as a defect with its cause.
         *
         * @param cause the cause, not null
         */
        public void error(Throwable cause) {
            mSink.write(Level.ERROR, mMessage, cause);
        }
    }
}
