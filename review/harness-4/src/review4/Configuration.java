package review4;

/** The operator's configuration: one queue. */
final class Configuration {

    static final String PREFIX = "/berth/";

    private Configuration() {}

    static String of(long version, String service, String... services) {
        StringBuilder declared = new StringBuilder();
        for (String each : services) {
            declared.append(declared.length() == 0 ? "" : ",")
                    .append("{\"name\":\"").append(each)
                    .append("\",\"health_check\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",")
                    .append("\"tls\":false,\"enforce_limits\":true,\"standby\":false}");
        }
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-berth\",\"hostname\":\"" + Fleet.HOST
                + "\",\"prefix\":\"" + PREFIX + "\",\"type\":\"non_idempotent\",\"timeout_ms\":60000,"
                + "\"target_latency_ms\":1000,\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":4,\"slack_factor\":1.6}],\"services\":[" + declared
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }
}
