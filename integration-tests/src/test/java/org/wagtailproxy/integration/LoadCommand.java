package org.wagtailproxy.integration;

import java.util.Map;
import java.util.TreeMap;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Command that measures dispatch policies one after another under the same seeded load. */
final class LoadCommand {

    private LoadCommand() {}

    public static void main(String[] arguments) throws Exception {
        ArgumentParser parser = ArgumentParsers.newFor("load").build().defaultHelp(true);
        parser.addArgument("--shape").setDefault("mchanga").choices("mchanga", "limpiasol");
        parser.addArgument("--policies").setDefault("round-robin,two-random,expected-completion");
        parser.addArgument("--seconds").type(Integer.class).setDefault(40);
        parser.addArgument("--seed").type(Long.class).setDefault(20261204L);
        parser.addArgument("--load").type(Double.class).setDefault(0.7);
        parser.addArgument("--spec").setDefault("").help("fields that go before the shape's own");
        Namespace options;
        try {
            options = parser.parseArgs(arguments);
        } catch (ArgumentParserException wrong) {
            parser.handleError(wrong);
            System.exit(2);
            return;
        }
        LoadShape shape = LoadShape.named(options.getString("shape"));
        System.out.printf("shape %s seed %d%n", shape.name(), options.getLong("seed"));
        System.out.println(LoadReport.HEADER);
        for (String policy : options.getString("policies").split(",")) {
            System.out.println(measure(shape, policy, options));
        }
        System.exit(0);
    }

    private static LoadReport measure(LoadShape shape, String policy, Namespace options)
            throws Exception {
        Map<String, String> settings = new TreeMap<>();
        settings.put("peers.replicas", "2");
        try (Cluster cluster =
                Cluster.startDirect(
                        settings,
                        shape.dataCentres(),
                        shape.entriesPerDataCentre(),
                        shape.slowdowns())) {
            String givenSpec = options.getString("spec");
            String fields = givenSpec.isEmpty() ? shape.spec() : givenSpec;
            String spec = "{\"policy\": \"" + policy + "\", " + fields + "}";
            TrueRefusalIT.redeclare(cluster, "service", Cluster.SERVICE, spec);
            OpenLoopLoad load =
                    new OpenLoopLoad(
                            cluster,
                            shape.maxTasksPerSecond() * options.getDouble("load"),
                            shape.maxTasksPerSecond() * 3,
                            options.getLong("seed"));
            load.run(options.getInt("seconds"));
            return LoadReport.of(policy, cluster, load);
        }
    }
}
