package org.wagtailproxy.operator;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Objects;
import java.util.UUID;
import org.wagtailproxy.configuration.Resource;
import org.wagtailproxy.configuration.ResourceId;
import org.wagtailproxy.document.ResourceDocuments;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.platform.KeyValueStore;
import org.wagtailproxy.platform.PlatformPoller;
import org.wagtailproxy.platform.StoreEntry;
import org.wagtailproxy.platform.StoreRange;
import org.wagtailproxy.platform.StoreWrite;

/**
 * Writes resources to the store. Each write is conditional on the version that the operator saw.
 *
 * <p>Calls block.
 */
public final class ResourceWriter {

    private static final int READ_BACK_ATTEMPTS = 3;

    private final KeyValueStore mStore;
    private final PlatformPoller mPoller;

    private ResourceWriter(KeyValueStore store, PlatformPoller poller) {
        mStore = store;
        mPoller = poller;
    }

    /**
     * Creates a writer.
     *
     * @param store the key-value service, not null
     * @param poller activates accepted versions, not null
     * @return the writer, never null
     */
    public static ResourceWriter of(KeyValueStore store, PlatformPoller poller) {
        return new ResourceWriter(Objects.requireNonNull(store, "store"), poller);
    }

    /**
     * Writes a new version of a resource.
     *
     * @param id the id of the resource, not null
     * @param spec the specification of the resource, null to withdraw it
     * @param expectedVersion the version to replace, 0 if the resource must not exist
     * @return the accepted version, or a failure: a version conflict, or an unknown outcome
     */
    public Either<Failure, Resource> write(ResourceId id, JsonNode spec, long expectedVersion) {
        String writeId = UUID.randomUUID().toString();
        String document = ResourceDocuments.envelope(spec, writeId);
        String key = PlatformPoller.RESOURCE_PREFIX + id;
        Either<Failure, StoreWrite> write = mStore.compareAndPut(key, expectedVersion, document, 0);
        Either<Failure, Resource> accepted =
                write.isRight()
                        ? acceptedOrConflict(id, write.get(), document, writeId)
                        : readBack(id, key, writeId);
        accepted.peek(mPoller::activateWritten);
        return accepted;
    }

    private static Either<Failure, Resource> acceptedOrConflict(
            ResourceId id, StoreWrite write, String document, String writeId) {
        if (write.written()) {
            return Either.right(Resource.of(id, write.revision(), document));
        }
        Option<StoreEntry> own = write.current().filter(entry -> isOwn(entry, writeId));
        return own.map(entry -> Resource.of(id, entry.revision(), entry.value()))
                .toEither(
                        () -> {
                            long current = write.current().map(StoreEntry::revision).getOrElse(0L);
                            return Failure.of(
                                    FailureKind.VERSION_CONFLICT,
                                    "the current version is " + current);
                        });
    }

    /**
     * Reads the resource again after an unanswered write and recognises that write by its id. If
     * the id is missing, the outcome stays unknown, because the write may still be in transit.
     */
    private Either<Failure, Resource> readBack(ResourceId id, String key, String writeId) {
        for (int attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt++) {
            Either<Failure, StoreRange> read = mStore.read(key);
            Option<StoreEntry> own =
                    read.toOption().flatMap(StoreRange::first).filter(e -> isOwn(e, writeId));
            if (own.isDefined()) {
                return Either.right(Resource.of(id, own.get().revision(), own.get().value()));
            }
        }
        return Either.left(
                Failure.of(
                        FailureKind.STORE_OUTCOME_UNKNOWN,
                        "the store did not confirm the write; read the resource again"));
    }

    private static boolean isOwn(StoreEntry entry, String writeId) {
        return ResourceDocuments.writeId(entry.value()).equals(writeId);
    }
}
