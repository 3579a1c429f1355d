package org.wagtailproxy.home;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.identity.SessionToken;
import org.wagtailproxy.session.SessionWindows;
import org.wagtailproxy.settings.Settings.SessionSettings;

/**
 * Tracks the incarnations over whose jobs this instance has authority, with their session windows:
 * the own incarnation and those that were handed over to it.
 *
 * <p>The instance with authority over an incarnation accepts jobs in the sessions that the
 * incarnation issued, and publishes their ends. An incarnation that is being handed over to this
 * instance is first prepared, while its ends arrive, and then activated.
 *
 * <p>Safe for use by several threads.
 */
public final class OwnedIncarnations {

    private final Incarnation mOwn;
    private final SessionSettings mSettings;
    private final Map<Incarnation, SessionWindows> mWindows = new ConcurrentHashMap<>();
    private final Set<Incarnation> mPrepared = ConcurrentHashMap.newKeySet();
    private final Map<Incarnation, Long> mLastIssuedWindow = new ConcurrentHashMap<>();

    private OwnedIncarnations(Incarnation own, SessionSettings settings) {
        mOwn = own;
        mSettings = settings;
    }

    /**
     * Creates the set with the own incarnation.
     *
     * @param own the own incarnation, not null
     * @param settings the length and number of session windows, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return the new set, never null
     */
    public static OwnedIncarnations of(Incarnation own, SessionSettings settings, long nowNanos) {
        OwnedIncarnations owned = new OwnedIncarnations(own, settings);
        owned.mWindows.put(own, owned.windows(nowNanos));
        return owned;
    }

    /**
     * Returns the session windows of an incarnation.
     *
     * @param incarnation the incarnation, not null
     * @return its windows, none if it is neither under the authority of this instance nor prepared
     *     for it
     */
    public Option<SessionWindows> windows(Incarnation incarnation) {
        return Option.of(mWindows.get(incarnation));
    }

    /**
     * Checks whether this instance has authority over an incarnation.
     *
     * @param incarnation the incarnation, not null
     * @return true if it has authority; false while the incarnation is only prepared
     */
    public boolean hasAuthority(Incarnation incarnation) {
        return mWindows.containsKey(incarnation) && !mPrepared.contains(incarnation);
    }

    /**
     * Returns the session token that callers receive now.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return a token of the own incarnation, never null
     */
    public SessionToken currentToken(long nowNanos) {
        SessionWindows windows = mWindows.get(mOwn);
        return SessionToken.of(mOwn, windows == null ? 0 : windows.currentWindow(nowNanos));
    }

    /**
     * Prepares the authority over an incarnation. Its jobs may be added afterwards; requests are
     * not served until {@link #activate}.
     *
     * @param incarnation the incarnation, not null
     * @param ageNanos the time since its first window began, in nanoseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void prepare(Incarnation incarnation, long ageNanos, long nowNanos) {
        SessionWindows windows = windows(nowNanos - ageNanos);
        mLastIssuedWindow.putIfAbsent(incarnation, windows.currentWindow(nowNanos));
        if (mWindows.putIfAbsent(incarnation, windows) == null) {
            mPrepared.add(incarnation);
        }
    }

    /**
     * Starts the authority over a prepared incarnation, after all of its jobs were added.
     *
     * @param incarnation the prepared incarnation, not null
     */
    public void activate(Incarnation incarnation) {
        mPrepared.remove(incarnation);
    }

    /**
     * Ends the authority over an incarnation.
     *
     * @param incarnation the incarnation, not null
     */
    public void release(Incarnation incarnation) {
        mWindows.remove(incarnation);
        mLastIssuedWindow.remove(incarnation);
    }

    /**
     * Returns all incarnations, including prepared ones, with their session windows.
     *
     * @return a copy, never null
     */
    public Map<Incarnation, SessionWindows> allWindows() {
        return Map.copyOf(mWindows);
    }

    /**
     * Returns the incarnations that were handed over to this instance and of which every issued
     * window is forgotten.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the incarnations, never null
     */
    public List<Incarnation> forgottenIncarnations(long nowNanos) {
        return mLastIssuedWindow.entrySet().stream()
                .filter(entry -> allForgotten(entry.getKey(), entry.getValue(), nowNanos))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the minimum time for which a job is stored, counted from its acceptance.
     *
     * @return the retention, never null
     */
    public Duration retention() {
        return mSettings.window().multipliedBy(mSettings.retainedWindows() - 2L);
    }

    private boolean allForgotten(Incarnation incarnation, long lastIssued, long nowNanos) {
        SessionWindows windows = mWindows.get(incarnation);
        return windows == null || windows.allForgotten(lastIssued, nowNanos);
    }

    private SessionWindows windows(long startNanos) {
        return SessionWindows.of(startNanos, mSettings.window(), mSettings.retainedWindows());
    }
}
