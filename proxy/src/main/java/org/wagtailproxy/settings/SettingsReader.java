package org.wagtailproxy.settings;

import com.sun.management.UnixOperatingSystemMXBean;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.Reader;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.limits.ClientLimits;
import org.wagtailproxy.limits.InstanceLimits;
import org.wagtailproxy.membership.MembershipTiming;
import org.wagtailproxy.settings.Settings.InstanceSettings;
import org.wagtailproxy.settings.Settings.LimitSettings;
import org.wagtailproxy.settings.Settings.PeerSettings;
import org.wagtailproxy.settings.Settings.PlatformSettings;
import org.wagtailproxy.settings.Settings.SessionSettings;
import org.wagtailproxy.settings.SettingsProblem.Kind;

/** Reads and validates a settings file, and reports all problems in it at once. */
public final class SettingsReader {

    private static final Map<String, Set<String>> KEYS =
            Map.of(
                    "instance",
                    Set.of(
                            "name",
                            "data-centre",
                            "caller-address",
                            "peer-address",
                            "caller-listen-address",
                            "peer-listen-address"),
                    "platform",
                    Set.of("store-address", "list-address", "poll-interval", "call-timeout"),
                    "peers",
                    Set.of(
                            "seeds",
                            "heartbeat-interval",
                            "remote-heartbeat-interval",
                            "control-bytes-per-second",
                            "replicas",
                            "withhold-after",
                            "seal-after",
                            "remote-seal-after"),
                    "sessions",
                    Set.of("window", "retained-windows"),
                    "limits",
                    Set.of(
                            "body-size",
                            "outcome-memory",
                            "drain-timeout",
                            "claims-per-second",
                            "idle-connection",
                            "connections",
                            "caller-memory",
                            "read-ahead",
                            "header-size",
                            "header-timeout",
                            "request-timeout"));

    /** The part of the heap that requests and answers of callers may take up. */
    private static final int CALLER_HEAP_DIVISOR = 4;

    /** Memory for callers beside the largest body. */
    private static final int MIN_CALLER_BYTES = 1_000_000;

    private final Map<String, String> mValues = new HashMap<>();
    private final List<SettingsProblem> mProblems = new ArrayList<>();

    private SettingsReader() {}

    /**
     * Reads and validates a settings file.
     *
     * @param file the file, not null
     * @return the settings, or all problems that were found
     */
    public static Either<List<SettingsProblem>, Settings> read(Path file) {
        Objects.requireNonNull(file, "file");
        SettingsReader reader = new SettingsReader();
        reader.load(file);
        if (!reader.mProblems.isEmpty()) {
            return Either.left(List.copyOf(reader.mProblems));
        }
        return reader.build();
    }

    private void load(Path file) {
        INIConfiguration configuration = new INIConfiguration();
        configuration.setCommentLeadingCharsUsedInInput("#;");
        configuration.setSeparatorUsedInInput("=");
        try (Reader text = Files.newBufferedReader(file)) {
            configuration.read(text);
        } catch (IOException | ConfigurationException failure) {
            addProblem(file.getFileName().toString(), Kind.UNREADABLE, "expected an INI file");
            return;
        }
        for (String section : configuration.getSections()) {
            loadSection(configuration, section);
        }
    }

    private void loadSection(INIConfiguration configuration, String section) {
        Set<String> known = section == null ? null : KEYS.get(section);
        if (known == null) {
            String name = section == null ? "(before the first section)" : section;
            addProblem(
                    name,
                    Kind.UNKNOWN_SECTION,
                    "known are " + KEYS.keySet().stream().sorted().toList());
            return;
        }
        SubnodeConfiguration node = configuration.getSection(section);
        node.getKeys()
                .forEachRemaining(
                        raw -> {
                            String key = raw.replace("..", ".");
                            String full = section + "." + key;
                            if (!known.contains(key)) {
                                addProblem(
                                        full,
                                        Kind.UNKNOWN_KEY,
                                        "known are " + known.stream().sorted().toList());
                            } else if (node.getList(raw).size() > 1) {
                                addProblem(full, Kind.DUPLICATE_KEY, "given more than once");
                            } else {
                                mValues.put(full, node.getString(raw).trim());
                            }
                        });
    }

    private Either<List<SettingsProblem>, Settings> build() {
        InstanceSettings instance = instance();
        PlatformSettings platform = platform();
        PeerSettings peers = peers();
        SessionSettings sessions =
                new SessionSettings(
                        duration("sessions.window", "5min", "100ms", "1h"),
                        (int) number("sessions.retained-windows", "4", 3, 100));
        LimitSettings limits = limits();
        if (!mProblems.isEmpty()) {
            return Either.left(List.copyOf(mProblems));
        }
        return Either.right(new Settings(instance, platform, peers, sessions, limits));
    }

    private InstanceSettings instance() {
        HostAddress caller = address("instance.caller-address");
        HostAddress peer = address("instance.peer-address");
        HostAddress callerListen = addressOr("instance.caller-listen-address", caller);
        HostAddress peerListen = addressOr("instance.peer-listen-address", peer);
        checkDistinct("instance.peer-address", peer, "instance.caller-address", caller);
        checkDistinct(
                "instance.peer-listen-address",
                peerListen,
                "instance.caller-listen-address",
                callerListen);
        String dataCentre = name("instance.data-centre");
        return new InstanceSettings(
                name("instance.name"),
                dataCentre == null ? null : DataCentre.of(dataCentre),
                caller,
                peer,
                callerListen,
                peerListen);
    }

    private void checkDistinct(
            String key, HostAddress address, String otherKey, HostAddress other) {
        if (address != null && address.equals(other)) {
            addProblem(key, Kind.DUPLICATE_ADDRESS, "also given as " + otherKey);
        }
    }

    private HostAddress addressOr(String key, HostAddress defaultValue) {
        return mValues.containsKey(key) ? address(key) : defaultValue;
    }

    private PlatformSettings platform() {
        return new PlatformSettings(
                address("platform.store-address"),
                address("platform.list-address"),
                duration("platform.poll-interval", "1s", "50ms", "5s"),
                duration("platform.call-timeout", "2s", "50ms", "10s"));
    }

    private PeerSettings peers() {
        return new PeerSettings(
                seeds(),
                duration("peers.heartbeat-interval", "500ms", "50ms", "5s"),
                duration("peers.remote-heartbeat-interval", "2s", "50ms", "10s"),
                (int) number("peers.control-bytes-per-second", "2048", 256, 1_000_000),
                (int) number("peers.replicas", "2", 1, 2),
                timing());
    }

    private MembershipTiming timing() {
        Duration withhold = duration("peers.withhold-after", "8s", "200ms", "1min");
        Duration seal = duration("peers.seal-after", "20s", "400ms", "10min");
        Duration remoteSeal = duration("peers.remote-seal-after", "120min", "1s", "24h");
        try {
            return MembershipTiming.of(withhold, seal, remoteSeal);
        } catch (IllegalArgumentException invalid) {
            addProblem(
                    "peers.seal-after",
                    Kind.OUT_OF_RANGE,
                    "at least twice withhold-after and at most remote-seal-after");
            return MembershipTiming.of(Duration.ZERO, Duration.ZERO, Duration.ZERO);
        }
    }

    private LimitSettings limits() {
        int bodyBytes = (int) size("limits.body-size", "4MB", 1_000, 16_000_000);
        return new LimitSettings(
                bodyBytes,
                size("limits.outcome-memory", "256MB", 1_000_000, 4_000_000_000L),
                duration("limits.drain-timeout", "30s", "1s", "10min"),
                (int) number("limits.claims-per-second", "20", 1, 1000),
                duration("limits.idle-connection", "1s", "1s", "1min"),
                callers(bodyBytes));
    }

    /** Reads the limits on callers, which are within the means of the process. */
    private ClientLimits callers(int bodyBytes) {
        long maxMemoryBytes = Runtime.getRuntime().maxMemory() / CALLER_HEAP_DIVISOR;
        int connections = (int) number("limits.connections", "4000", 1, 4000);
        long memoryBytes = size("limits.caller-memory", "256MB", 1_000_000, 4_000_000_000L);
        return new ClientLimits(
                Math.min(connections, InstanceLimits.callerConnections(maxDescriptors())),
                Math.max(bodyBytes + MIN_CALLER_BYTES, Math.min(memoryBytes, maxMemoryBytes)),
                size("limits.read-ahead", "5MB", 1_000, 64_000_000),
                (int) size("limits.header-size", "384KB", 1_000, 1_000_000),
                bodyBytes,
                duration("limits.header-timeout", "20s", "1s", "1min").toMillis(),
                duration("limits.request-timeout", "1min", "1s", "10min").toMillis());
    }

    private static int maxDescriptors() {
        if (ManagementFactory.getOperatingSystemMXBean()
                instanceof UnixOperatingSystemMXBean unix) {
            return (int) Math.min(Integer.MAX_VALUE, unix.getMaxFileDescriptorCount());
        }
        return Integer.MAX_VALUE;
    }

    private List<HostAddress> seeds() {
        List<HostAddress> seeds = new ArrayList<>();
        for (String text : mValues.getOrDefault("peers.seeds", "").split("[, ]+")) {
            if (text.isEmpty()) {
                continue;
            }
            Option<HostAddress> seed = HostAddress.parse(text);
            if (seed.isEmpty()) {
                addProblem("peers.seeds", Kind.MALFORMED_VALUE, "expected IP numbers with ports");
            } else if (seeds.contains(seed.get())) {
                addProblem("peers.seeds", Kind.DUPLICATE_ADDRESS, seed.get() + " is given twice");
            } else {
                seeds.add(seed.get());
            }
        }
        return List.copyOf(seeds);
    }

    private HostAddress address(String key) {
        String text = required(key);
        if (text == null) {
            return null;
        }
        Option<HostAddress> address = HostAddress.parse(text);
        if (address.isEmpty()) {
            addProblem(key, Kind.MALFORMED_VALUE, "expected an IP number and a port");
        }
        return address.getOrNull();
    }

    private String name(String key) {
        String text = required(key);
        if (text != null && !Names.isName(text)) {
            addProblem(key, Kind.MALFORMED_VALUE, "expected 1 to 100 of A-Z a-z 0-9 _ : -");
            return null;
        }
        return text;
    }

    private String required(String key) {
        String text = mValues.get(key);
        if (text == null || text.isEmpty()) {
            addProblem(key, Kind.MISSING_KEY, "required");
            return null;
        }
        return text;
    }

    private Duration duration(String key, String defaultValue, String min, String max) {
        String text = mValues.getOrDefault(key, defaultValue);
        Either<Kind, Duration> parsed = Quantities.parseDuration(text);
        if (parsed.isLeft()) {
            addProblem(
                    key, parsed.getLeft(), "expected a number and one of " + Quantities.TIME_UNITS);
            return Quantities.parseDuration(defaultValue).get();
        }
        boolean low = parsed.get().compareTo(Quantities.parseDuration(min).get()) < 0;
        boolean high = parsed.get().compareTo(Quantities.parseDuration(max).get()) > 0;
        if (low || high) {
            addProblem(key, Kind.OUT_OF_RANGE, "expected " + min + " to " + max);
        }
        return parsed.get();
    }

    private long size(String key, String defaultValue, long min, long max) {
        String text = mValues.getOrDefault(key, defaultValue);
        Either<Kind, Long> parsed = Quantities.parseBytes(text);
        if (parsed.isLeft()) {
            addProblem(
                    key, parsed.getLeft(), "expected a number and one of " + Quantities.SIZE_UNITS);
            return min;
        }
        return checkRange(key, parsed.get(), min, max);
    }

    private long number(String key, String defaultValue, long min, long max) {
        String text = mValues.getOrDefault(key, defaultValue);
        if (!text.matches("[0-9]{1,12}")) {
            addProblem(key, Kind.MALFORMED_VALUE, "expected a whole number");
            return min;
        }
        return checkRange(key, Long.parseLong(text), min, max);
    }

    private long checkRange(String key, long value, long min, long max) {
        if (value < min || value > max) {
            addProblem(key, Kind.OUT_OF_RANGE, "expected " + min + " to " + max);
            return min;
        }
        return value;
    }

    private void addProblem(String key, Kind kind, String detail) {
        mProblems.add(SettingsProblem.of(key, kind, detail));
    }
}
