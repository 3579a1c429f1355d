package org.wagtailproxy.identity;

import io.vavr.control.Option;
import java.util.regex.Pattern;

/**
 * Represents an IP address and a port.
 *
 * @param host the IPv4 address in dotted decimal form, not null
 * @param port the port, 1 to 65535
 */
public record HostAddress(String host, int port) implements Comparable<HostAddress> {

    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";

    /** Anything else would be looked up as a host name, which blocks the caller. */
    private static final Pattern HOST = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");

    /** The highest port. */
    public static final int MAX_PORT = 65_535;

    private static final int MAX_PORT_DIGITS = 5;

    /** Validates the components. */
    public HostAddress {
        if (!HOST.matcher(host).matches()) {
            throw new IllegalArgumentException("host is not an IP number");
        }
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port is not within 1 to 65535");
        }
    }

    /**
     * Creates an address.
     *
     * @param host the IPv4 address, not null
     * @param port the port, 1 to 65535
     * @return the address, never null
     */
    public static HostAddress of(String host, int port) {
        return new HostAddress(host, port);
    }

    /**
     * Parses the text form {@code host:port}.
     *
     * @param text the text, may be null
     * @return the address, or none if the text is malformed
     */
    public static Option<HostAddress> parse(String text) {
        int separator = text == null ? -1 : text.indexOf(':');
        if (separator < 1 || !HOST.matcher(text.substring(0, separator)).matches()) {
            return Option.none();
        }
        String digits = text.substring(separator + 1);
        if (digits.length() > MAX_PORT_DIGITS || !digits.matches("[0-9]+")) {
            return Option.none();
        }
        int port = Integer.parseInt(digits);
        return port < 1 || port > MAX_PORT
                ? Option.none()
                : Option.some(of(text.substring(0, separator), port));
    }

    @Override
    public int compareTo(HostAddress other) {
        int order = host.compareTo(other.host);
        return order != 0 ? order : Integer.compare(port, other.port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
