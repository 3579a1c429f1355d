package review4;

/** Waits. */
final class Clock {

    private Clock() {}

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException stopped) {
            throw new IllegalStateException(stopped);
        }
    }
}
