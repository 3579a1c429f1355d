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
import org.wagtailproxy.settings.SettingsProblem.Kind;

class SettingsReaderTest {

    private static final String SOUND =
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
    void testExamplesAreSound() {
        for (String name : List.of("mchanga.ini", "limpiasol.ini")) {
            Path file = Path.of("..", "examples", name);
            assertThat(name, SettingsReader.read(file).isRight(), is(true));
        }
    }

    @Test
    void testAddressesToListenOnAreTheAdvertisedOnesUnlessGiven() throws IOException {
        Settings settings = read(SOUND).get();
        assertThat(settings.instance().peerListenAddress(), is(settings.instance().peerAddress()));
    }

    @Test
    void testUnknownSectionIsNamed() throws IOException {
        assertThat(problems("[peer]\nx = 1\n"), contains("peer UNKNOWN_SECTION"));
    }

    @Test
    void testUnknownKeyIsNamed() throws IOException {
        assertThat(problems("[limits]\nbody = 1MB\n"), contains("limits.body UNKNOWN_KEY"));
    }

    @Test
    void testMissingUnitIsNamed() throws IOException {
        assertThat(
                problems("[limits]\ndrain-timeout = 30\n"),
                contains("limits.drain-timeout MISSING_UNIT"));
    }

    @Test
    void testValueOutOfRangeIsNamed() throws IOException {
        assertThat(
                problems("[sessions]\nretained-windows = 2\n"),
                contains("sessions.retained-windows OUT_OF_RANGE"));
    }

    @Test
    void testMalformedValueIsNamed() throws IOException {
        assertThat(
                problems("[sessions]\nwindow = soon\n"),
                contains("sessions.window MALFORMED_VALUE"));
    }

    @Test
    void testKeyGivenTwiceIsNamed() throws IOException {
        assertThat(
                problems("[sessions]\nwindow = 1min\nwindow = 2min\n"),
                contains("sessions.window DUPLICATE_KEY"));
    }

    @Test
    void testSealingBeforeWithholdingIsRefused() throws IOException {
        assertThat(
                problems("[peers]\nwithhold-after = 8s\nseal-after = 9s\n"),
                contains("peers.seal-after OUT_OF_RANGE"));
    }

    @Test
    void testDuplicateAddressIsNamed() throws IOException {
        List<String> found = found(SOUND.replace("7080", "8080"));
        assertThat(found, hasItem("instance.peer-address DUPLICATE_ADDRESS"));
    }

    @Test
    void testMissingKeyIsNamed() throws IOException {
        assertThat(found(SOUND.replace("name = one", "")), contains("instance.name MISSING_KEY"));
    }

    @Test
    void testFileThatIsNotThereIsUnreadable() {
        Either<List<SettingsProblem>, Settings> read = SettingsReader.read(Path.of("nosuch.ini"));
        assertThat(read.getLeft().get(0).kind(), is(Kind.UNREADABLE));
    }

    private static List<String> problems(String more) throws IOException {
        return found(SOUND + more);
    }

    private static List<String> found(String text) throws IOException {
        return read(text).getLeft().stream().map(each -> each.key() + " " + each.kind()).toList();
    }

    private static Either<List<SettingsProblem>, Settings> read(String text) throws IOException {
        Path file = Files.createTempFile("settings", ".ini");
        Files.writeString(file, text);
        return SettingsReader.read(file);
    }
}
