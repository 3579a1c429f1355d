package org.wagtailproxy.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.limits.ClientLimits;
import org.wagtailproxy.settings.SettingsProblem.Kind;

class SettingsReaderTest {

    private static final String VALID_SETTINGS =
            """
            [instance]
            name = one
            data-centre = here
            caller-address = 127.0.0.1:8080
            peer-address = 127.0.0.1:7080
            [platform]
            store-address = 127.0.0.1:2379
            list-address = 127.0.0.1:2379
            """;

    @Test
    void testExamplesAreValid() {
        for (String name : List.of("mchanga.ini", "limpiasol.ini")) {
            Path file = Path.of("..", "examples", name);
            assertThat(name, SettingsReader.read(file).isRight(), is(true));
        }
    }

    @Test
    void testListenAddressesDefaultToAdvertisedAddresses() throws IOException {
        Settings settings = read(VALID_SETTINGS).get();
        assertThat(settings.instance().peerListenAddress(), is(settings.instance().peerAddress()));
    }

    @Test
    void testLimitsOnCallersAreRead() throws IOException {
        String limits =
                """
                [limits]
                body-size = 1MB
                connections = 10
                caller-memory = 3MB
                read-ahead = 2KB
                header-size = 8KB
                header-timeout = 2s
                request-timeout = 3s
                """;
        ClientLimits callers = read(VALID_SETTINGS + limits).get().limits().callers();
        assertThat(
                callers,
                is(new ClientLimits(10, 3_000_000, 2_000, 8_000, 1_000_000, 2_000, 3_000)));
    }

    @Test
    void testLimitsOnCallersAllowTheLargestBody() throws IOException {
        String limits = "[limits]\nbody-size = 16MB\ncaller-memory = 1MB\n";
        ClientLimits callers = read(VALID_SETTINGS + limits).get().limits().callers();
        assertThat(callers.maxMemoryBytes(), is(17_000_000L));
    }

    @Test
    void testUnknownSectionIsReported() throws IOException {
        assertThat(problemsWith("[peer]\nx = 1\n"), contains("peer UNKNOWN_SECTION"));
    }

    @Test
    void testUnknownKeyIsReported() throws IOException {
        assertThat(problemsWith("[limits]\nbody = 1MB\n"), contains("limits.body UNKNOWN_KEY"));
    }

    @Test
    void testMissingUnitIsReported() throws IOException {
        assertThat(
                problemsWith("[limits]\ndrain-timeout = 30\n"),
                contains("limits.drain-timeout MISSING_UNIT"));
    }

    @Test
    void testValueOutOfRangeIsReported() throws IOException {
        assertThat(
                problemsWith("[sessions]\nretained-windows = 2\n"),
                contains("sessions.retained-windows OUT_OF_RANGE"));
    }

    @Test
    void testMalformedValueIsReported() throws IOException {
        assertThat(
                problemsWith("[sessions]\nwindow = soon\n"),
                contains("sessions.window MALFORMED_VALUE"));
    }

    @Test
    void testKeyGivenTwiceIsReported() throws IOException {
        assertThat(
                problemsWith("[sessions]\nwindow = 1min\nwindow = 2min\n"),
                contains("sessions.window DUPLICATE_KEY"));
    }

    @Test
    void testSealTimeoutBelowTwiceTheWithholdTimeoutIsReported() throws IOException {
        assertThat(
                problemsWith("[peers]\nwithhold-after = 8s\nseal-after = 9s\n"),
                contains("peers.seal-after OUT_OF_RANGE"));
    }

    @Test
    void testDuplicateAddressIsReported() throws IOException {
        List<String> found = problemsOf(VALID_SETTINGS.replace("7080", "8080"));
        assertThat(found, hasItem("instance.peer-address DUPLICATE_ADDRESS"));
    }

    @Test
    void testMissingKeyIsReported() throws IOException {
        assertThat(
                problemsOf(VALID_SETTINGS.replace("name = one", "")),
                contains("instance.name MISSING_KEY"));
    }

    @Test
    void testMissingFileIsUnreadable() {
        Either<List<SettingsProblem>, Settings> read = SettingsReader.read(Path.of("nosuch.ini"));
        assertThat(read.getLeft().get(0).kind(), is(Kind.UNREADABLE));
    }

    private static List<String> problemsWith(String addedText) throws IOException {
        return problemsOf(VALID_SETTINGS + addedText);
    }

    private static List<String> problemsOf(String text) throws IOException {
        return read(text).getLeft().stream().map(each -> each.key() + " " + each.kind()).toList();
    }

    private static Either<List<SettingsProblem>, Settings> read(String text) throws IOException {
        Path file = Files.createTempFile("settings", ".ini");
        Files.writeString(file, text);
        return SettingsReader.read(file);
    }
}
