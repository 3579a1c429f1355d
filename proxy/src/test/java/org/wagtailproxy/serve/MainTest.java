package org.wagtailproxy.serve;

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
    void testCheckOfValidSettingsSucceeds() {
        assertThat(run("check", "--settings", "../examples/mchanga.ini"), is(ExitCode.OK));
        assertThat(mOut.toString(), containsString("sound"));
    }

    @Test
    void testInvalidSettingsFilePreventsStart() {
        assertThat(run("serve", "--settings", "pom.xml"), is(ExitCode.BAD_SETTINGS));
        assertThat(mErrors.toString(), containsString("unknown section"));
    }

    @Test
    void testInvalidCommandLineIsAUsageError() {
        assertThat(run("serve"), is(ExitCode.USAGE));
    }

    private int run(String... arguments) {
        return Main.run(arguments, new PrintStream(mOut), new PrintStream(mErrors));
    }
}
