package org.wagtailproxy.burn;

/** Lists the windows over which burn rates are reported. */
public enum BurnWindow {
    /** Five minutes, for fast burn. */
    FIVE_MINUTES("5m", 5),
    /** One hour, which confirms fast burn. */
    ONE_HOUR("1h", 60),
    /** Six hours, for slow burn. */
    SIX_HOURS("6h", 360);

    private final String mLabel;
    private final int mMinutes;

    BurnWindow(String label, int minutes) {
        mLabel = label;
        mMinutes = minutes;
    }

    /**
     * Returns the label used in reports.
     *
     * @return the label, never null
     */
    public String label() {
        return mLabel;
    }

    /**
     * Returns the length of the window.
     *
     * @return minutes, 1 or more
     */
    public int minutes() {
        return mMinutes;
    }
}
