package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time in seconds since the start. */
final class Record {

    private static final long START_NANOS = System.nanoTime();
    private static PrintWriter sWriter;

    private Record() {}

    static void open(String path) throws IOException {
        sWriter =
                new PrintWriter(
                        Files.newBufferedWriter(Path.of(path), StandardCharsets.UTF_8), true);
    }

    static double now() {
        return (System.nanoTime() - START_NANOS) / 1e9;
    }

    /** Writes a line to the record. */
    static synchronized void log(String format, Object... arguments) {
        if (sWriter == null) {
            return;
        }
        sWriter.printf(Locale.ROOT, "%8.3f  ", now());
        sWriter.printf(Locale.ROOT, format + "%n", arguments);
    }

    /** Writes a line to the record and to standard output. */
    static void say(String format, Object... arguments) {
        log(format, arguments);
        System.out.printf(Locale.ROOT, "%8.3f  " + format + "%n", prepend(now(), arguments));
    }

    private static Object[] prepend(Object first, Object[] others) {
        Object[] all = new Object[others.length + 1];
        all[0] = first;
        System.arraycopy(others, 0, all, 1, others.length);
        return all;
    }
}
