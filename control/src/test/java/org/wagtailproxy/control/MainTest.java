package org.wagtailproxy.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

class MainTest {

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErrors = new ByteArrayOutputStream();

    @Test
    void testUnreachableInstanceHasItsOwnExitCode() {
        assertThat(run("--address", "127.0.0.1:1", "session"), is(ExitCode.UNREACHABLE.code()));
        assertThat(mErrors.toString(), containsString("127.0.0.1:1 does not answer"));
    }

    @Test
    void testInvalidAddressIsAUsageError() {
        assertThat(run("--address", "somewhere", "session"), is(ExitCode.USAGE.code()));
    }

    @Test
    void testUnreadableMetricsFailTheBurnReport() {
        assertThat(
                run("burn", "--metrics", "http://127.0.0.1:1/metrics"),
                is(ExitCode.UNREACHABLE.code()));
        assertThat(run("burn", "--metrics", "http://not an address"), is(ExitCode.USAGE.code()));
        assertThat(run("burn", "--metrics", "nosuch.txt"), is(ExitCode.USAGE.code()));
        assertThat(
                run("burn", "--target", "1000", "--metrics", "nosuch.txt"),
                is(ExitCode.USAGE.code()));
    }

    @Test
    void testUnknownCommandIsAUsageError() {
        assertThat(run("frobnicate"), is(ExitCode.USAGE.code()));
    }

    @Test
    void testUnreadableFileIsAUsageError() {
        assertThat(run("apply", "nosuch.json"), is(ExitCode.USAGE.code()));
    }

    private int run(String... arguments) {
        return Main.run(arguments, new PrintStream(mOut), new PrintStream(mErrors));
    }
}
