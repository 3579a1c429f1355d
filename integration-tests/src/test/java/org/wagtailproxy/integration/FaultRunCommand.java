package org.wagtailproxy.integration;

import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Command that makes a long {@link FaultRun} with the given seed and number of rounds. Exits with
 * status 1 if a guarantee was violated.
 */
final class FaultRunCommand {

    private FaultRunCommand() {}

    public static void main(String[] arguments) throws Exception {
        ArgumentParser parser = ArgumentParsers.newFor("fault-run").build().defaultHelp(true);
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
        parser.addArgument("--rounds").type(Integer.class).setDefault(30);
        Namespace options;
        try {
            options = parser.parseArgs(arguments);
        } catch (ArgumentParserException wrong) {
            parser.handleError(wrong);
            System.exit(2);
            return;
        }
        System.out.println("seed " + options.getLong("seed"));
        List<String> broken = FaultRun.run(options.getLong("seed"), options.getInt("rounds"));
        broken.forEach(System.out::println);
        System.out.println(broken.isEmpty() ? "no promise was broken" : "PROMISES BROKEN");
        System.exit(broken.isEmpty() ? 0 : 1);
    }
}
