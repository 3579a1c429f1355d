package org.wagtailproxy.peer;

/** Counts the bytes of the peer protocol. */
public interface ByteCounter {

    /**
     * Counts bytes of any message.
     *
     * @param direction "sent" or "received", not null
     * @param bytes the number of bytes
     */
    void peerBytes(String direction, int bytes);

    /**
     * Counts bytes of control messages: heartbeats, views and presence.
     *
     * @param direction "sent" or "received", not null
     * @param bytes the number of bytes
     */
    void controlBytes(String direction, int bytes);
}
