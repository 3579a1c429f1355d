package review4;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, with the seconds since the start. */
final class Record implements AutoCloseable {

    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mWriter;

    Record(Path folder) throws IOException {
        mWriter = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    double seconds() {
        return (System.nanoTime() - mStartNanos) / 1e9;
    }

    synchronized void add(String format, Object... values) {
        String line = String.format("%8.3f  %s", seconds(), String.format(format, values));
        mWriter.println(line);
        mWriter.flush();
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        mWriter.close();
    }
}
