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

/** The incarnations for which this instance has authority: its own and those handed over to it. */
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
     * Starts with the own incarnation.
     *
     * @param own the own incarnation, not null
     * @param settings the length of windows, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return the incarnations, never null
     */
    public static OwnedIncarnations of(Incarnation own, SessionSettings settings, long nowNanos) {
        OwnedIncarnations owned = new OwnedIncarnations(own, settings);
        owned.mWindows.put(own, owned.windows(nowNanos));
        return owned;
    }

    /**
     * Returns the windows of an incarnation.
     *
     * @param incarnation the incarnation, not null
     * @return its windows, none if it is not held here
     */
    public Option<SessionWindows> windows(Incarnation incarnation) {
        return Option.of(mWindows.get(incarnation));
    }

    /**
     * Tests whether this instance has authority over an incarnation.
     *
     * @param incarnation the incarnation, not null
     * @return true if it is
     */
    public boolean hasAuthority(Incarnation incarnation) {
        return mWindows.containsKey(incarnation) && !mPrepared.contains(incarnation);
    }

    /**
     * Returns the token that callers are given now.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return a token of the own incarnation, never null
     */
    public SessionToken currentToken(long nowNanos) {
        SessionWindows windows = mWindows.get(mOwn);
        return SessionToken.of(mOwn, windows == null ? 0 : windows.currentWindow(nowNanos));
    }

    /**
     * Prepares to take over an incarnation, whose jobs may be added from now on.
     *
     * @param incarnation the incarnation, not null
     * @param ageNanos how long ago its first window began
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
     * Takes over an incarnation whose jobs have all been added.
     *
     * @param incarnation the incarnation, prepared before, not null
     */
    public void activate(Incarnation incarnation) {
        mPrepared.remove(incarnation);
    }

    /**
     * Gives an incarnation up.
     *
     * @param incarnation the incarnation, not null
     */
    public void release(Incarnation incarnation) {
        mWindows.remove(incarnation);
        mLastIssuedWindow.remove(incarnation);
    }

    /**
     * Returns everything held.
     *
     * @return a copy, never null
     */
    public Map<Incarnation, SessionWindows> allWindows() {
        return Map.copyOf(mWindows);
    }

    /**
     * Returns the adopted incarnations of which nothing is remembered any more.
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
     * Returns how long a job is remembered at least, from its acceptance on.
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
