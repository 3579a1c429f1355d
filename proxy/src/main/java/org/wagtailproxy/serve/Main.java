package org.wagtailproxy.serve;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.apache.logging.log4j.LogManager;
import org.wagtailproxy.settings.Settings;
import org.wagtailproxy.settings.SettingsProblem;
import org.wagtailproxy.settings.SettingsReader;

/** Entry point of the daemon {@code wagtailproxy}. */
public final class Main {

    private static final String VERSION = "0.1.0";

    private Main() {}

    /**
     * Runs a command and exits.
     *
     * @param arguments the command line, not null
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out, System.err));
    }

    /**
     * Runs a command.
     *
     * @param arguments the command line, not null
     * @param out receives results, not null
     * @param errors receives error messages, not null
     * @return the exit code
     */
    public static int run(String[] arguments, PrintStream out, PrintStream errors) {
        ArgumentParser parser = parser();
        Namespace namespace;
        try {
            namespace = parser.parseArgs(arguments);
        } catch (HelpScreenException help) {
            return ExitCode.OK;
        } catch (ArgumentParserException invalid) {
            errors.println("wagtailproxy: " + invalid.getMessage());
            return ExitCode.USAGE;
        }
        Path file = Path.of(namespace.getString("settings"));
        Either<List<SettingsProblem>, Settings> settings = SettingsReader.read(file);
        if (settings.isLeft()) {
            settings.getLeft().forEach(errors::println);
            return ExitCode.BAD_SETTINGS;
        }
        if (namespace.getString("command").equals("check")) {
            out.println("the settings are sound");
            return ExitCode.OK;
        }
        return serve(settings.get(), errors);
    }

    private static int serve(Settings settings, PrintStream errors) {
        String idle = Long.toString(settings.limits().idleConnection().toSeconds());
        System.setProperty("jdk.httpclient.keepalive.timeout", idle);
        try (Instance instance = Instance.start(settings)) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(instance), "stop"));
            instance.awaitSealed();
            Runtime.getRuntime().halt(ExitCode.SEALED);
            return ExitCode.SEALED;
        } catch (IOException | RuntimeException failure) {
            errors.println("wagtailproxy: cannot listen: " + failure.getMessage());
            Runtime.getRuntime().halt(ExitCode.CANNOT_LISTEN);
            return ExitCode.CANNOT_LISTEN;
        } catch (InterruptedException interrupted) {
            return ExitCode.OK;
        }
    }

    /**
     * Stops the instance in the shutdown hook. Halting here sets the exit code, which would
     * otherwise be that of the signal.
     */
    private static void stop(Instance instance) {
        instance.stop();
        LogManager.shutdown();
        Runtime.getRuntime().halt(ExitCode.OK);
    }

    private static ArgumentParser parser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("wagtailproxy")
                        .build()
                        .defaultHelp(true)
                        .version("wagtailproxy " + VERSION)
                        .description("Dispatches sub-second tasks to backend servers.");
        parser.addArgument("--version").action(Arguments.version());
        Subparsers commands = parser.addSubparsers().dest("command").metavar("COMMAND");
        command(commands, "serve", "serve callers, operators and other instances");
        command(commands, "check", "check a settings file and exit");
        return parser;
    }

    private static void command(Subparsers commands, String name, String help) {
        Subparser command = commands.addParser(name).help(help);
        command.addArgument("--settings")
                .required(true)
                .metavar("FILE")
                .help("the INI file with the settings");
    }
}
