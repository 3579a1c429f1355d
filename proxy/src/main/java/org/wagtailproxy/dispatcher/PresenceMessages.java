package org.wagtailproxy.dispatcher;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.leadership.HomeProcess;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.LifeSign;
import org.wagtailproxy.leadership.PeerStatus;
import org.wagtailproxy.leadership.StoreContact;
import org.wagtailproxy.peer.MessageConverter;
import org.wagtailproxy.wire.Presence;

/** Converts presence messages to the status of a peer. */
final class PresenceMessages {

    private PresenceMessages() {}

    /** Returns the status that an instance reports, none if its name is missing or invalid. */
    static Option<PeerStatus> status(Presence presence) {
        return name(presence.getName())
                .map(
                        name ->
                                new PeerStatus(
                                        name,
                                        presence.getSeniority(),
                                        name(presence.getFollows()),
                                        presence.getDraining(),
                                        storeContact(presence),
                                        presence.getOverloaded(),
                                        presence.getKeepsJobs(),
                                        WorkMessages.scope(presence.getScope()),
                                        presence.getClockNanos()));
    }

    /** Adds the contact of this instance to the store, and returns the presence. */
    static Presence.Builder setStoreContact(Presence.Builder presence, StoreContact contact) {
        return presence.setStoreless(contact == StoreContact.LOST)
                .setStoreConfirmed(contact == StoreContact.CONFIRMED);
    }

    private static StoreContact storeContact(Presence presence) {
        if (presence.getStoreless()) {
            return StoreContact.LOST;
        }
        return presence.getStoreConfirmed() ? StoreContact.CONFIRMED : StoreContact.ASSUMED;
    }

    /**
     * Returns the sign of life that a presence is.
     *
     * @param name the valid name of the instance
     * @param sentNanos a monotonic time of this instance at or before which it was sent
     */
    static LifeSign lifeSign(Presence presence, InstanceName name, long sentNanos) {
        return new LifeSign(
                process(name, presence.getIncarnation()),
                name(presence.getFollows()),
                presence.getClockNanos(),
                sentNanos);
    }

    /** Returns the process of an instance; one of an earlier build does not report it. */
    static HomeProcess process(InstanceName name, ByteString incarnation) {
        return new HomeProcess(
                name,
                MessageConverter.incarnation(incarnation)
                        .getOrElse(HomeProcess.UNKNOWN_INCARNATION));
    }

    /**
     * Adds to a probe the clock that its receiver has reported last, and returns the probe.
     *
     * @param clockNanos the clock, 0 if it is not known
     * @param ageNanos the time since it was received
     */
    static Presence.Builder setReceiverClock(
            Presence.Builder probe, long clockNanos, long ageNanos) {
        return probe.setReceiverClockNanos(clockNanos)
                .setReceiverClockAgeMillis(TimeUnit.NANOSECONDS.toMillis(ageNanos));
    }

    private static Option<InstanceName> name(String text) {
        return Names.isName(text) ? Option.some(InstanceName.of(text)) : Option.none();
    }
}
