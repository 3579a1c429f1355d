package org.wagtailproxy.peer;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import java.nio.ByteBuffer;
import org.wagtailproxy.configuration.Resource;
import org.wagtailproxy.configuration.ResourceId;
import org.wagtailproxy.configuration.ResourceKind;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.membership.Member;
import org.wagtailproxy.membership.Seal;
import org.wagtailproxy.membership.SealKind;

/**
 * Converts between messages of the peer protocol and values. An invalid message converts to none.
 */
public final class MessageConverter {

    private static final int INCARNATION_BYTES = 16;

    private MessageConverter() {}

    /**
     * Converts an incarnation to its 16 bytes.
     *
     * @param incarnation the value, not null
     * @return its 16 bytes, never null
     */
    public static ByteString incarnation(Incarnation incarnation) {
        ByteBuffer buffer = ByteBuffer.allocate(INCARNATION_BYTES);
        buffer.putLong(incarnation.high()).putLong(incarnation.low()).flip();
        return ByteString.copyFrom(buffer);
    }

    /**
     * Converts 16 bytes to an incarnation.
     *
     * @param bytes its 16 bytes, not null
     * @return the value, none if the length differs
     */
    public static Option<Incarnation> incarnation(ByteString bytes) {
        if (bytes.size() != INCARNATION_BYTES) {
            return Option.none();
        }
        ByteBuffer buffer = bytes.asReadOnlyByteBuffer();
        return Option.some(Incarnation.of(buffer.getLong(), buffer.getLong()));
    }

    /**
     * Converts a member to a message.
     *
     * @param member the value, not null
     * @return the message, never null
     */
    public static org.wagtailproxy.wire.Member member(Member member) {
        return org.wagtailproxy.wire.Member.newBuilder()
                .setIncarnation(incarnation(member.incarnation()))
                .setDataCentre(member.dataCentre().value())
                .setPeerAddress(member.peerAddress().toString())
                .setCallerAddress(member.callerAddress().toString())
                .setLeaving(member.leaving())
                .build();
    }

    /**
     * Converts a message to a member.
     *
     * @param message the message, not null
     * @return the value, none if the message is invalid
     */
    public static Option<Member> member(org.wagtailproxy.wire.Member message) {
        Option<Incarnation> incarnation = incarnation(message.getIncarnation());
        Option<HostAddress> peer = HostAddress.parse(message.getPeerAddress());
        Option<HostAddress> caller = HostAddress.parse(message.getCallerAddress());
        boolean valid =
                incarnation.isDefined()
                        && peer.isDefined()
                        && caller.isDefined()
                        && Names.isName(message.getDataCentre());
        if (!valid) {
            return Option.none();
        }
        return Option.some(
                new Member(
                        incarnation.get(),
                        DataCentre.of(message.getDataCentre()),
                        peer.get(),
                        caller.get(),
                        message.getLeaving()));
    }

    /**
     * Converts a seal to a message.
     *
     * @param seal the value, not null
     * @return the message, never null
     */
    public static org.wagtailproxy.wire.Seal seal(Seal seal) {
        org.wagtailproxy.wire.Seal.Builder message =
                org.wagtailproxy.wire.Seal.newBuilder()
                        .setIncarnation(incarnation(seal.incarnation()))
                        .setKind(
                                seal.kind() == SealKind.LOST
                                        ? org.wagtailproxy.wire.Seal.Kind.LOST
                                        : org.wagtailproxy.wire.Seal.Kind.HANDED_OVER);
        seal.successor().forEach(successor -> message.setSuccessor(member(successor)));
        return message.build();
    }

    /**
     * Converts a message to a seal.
     *
     * @param message the message, not null
     * @return the value, none if the message is invalid
     */
    public static Option<Seal> seal(org.wagtailproxy.wire.Seal message) {
        Option<Incarnation> incarnation = incarnation(message.getIncarnation());
        if (message.getKind() == org.wagtailproxy.wire.Seal.Kind.LOST) {
            return incarnation.map(Seal::lost);
        }
        Option<Member> successor = member(message.getSuccessor());
        return incarnation.flatMap(each -> successor.map(next -> Seal.handedOver(each, next)));
    }

    /**
     * Converts a resource to a message.
     *
     * @param resource the value, not null
     * @return the message, never null
     */
    public static org.wagtailproxy.wire.Resource resource(Resource resource) {
        return org.wagtailproxy.wire.Resource.newBuilder()
                .setKind(resource.id().kind().externalName())
                .setName(resource.id().name())
                .setVersion(resource.version())
                .setDocument(ByteString.copyFromUtf8(resource.document()))
                .build();
    }

    /**
     * Converts a message to a resource.
     *
     * @param message the message, not null
     * @return the value, none if the message is invalid
     */
    public static Option<Resource> resource(org.wagtailproxy.wire.Resource message) {
        if (!Names.isName(message.getName()) || message.getVersion() < 1) {
            return Option.none();
        }
        return ResourceKind.parse(message.getKind())
                .map(
                        kind ->
                                Resource.of(
                                        ResourceId.of(kind, message.getName()),
                                        message.getVersion(),
                                        message.getDocument().toStringUtf8()));
    }
}
