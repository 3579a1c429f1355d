package org.wagtailproxy.control;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.PrintStream;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.wagtailproxy.identity.HostAddress;

/** Entry point of the command-line tool {@code wagtailctl}. */
public final class Main {

    private static final String VERSION = "0.1.0";

    /**
     * Maximum objective, in jobs per thousand. An objective of 1000 allows no missed job, so it has
     * no error budget and no burn rate.
     */
    private static final int MAX_TARGET_PER_MILLE = 999;

    /** Default objective, 99%; docs/OPERATIONS.md gives the burn formula for it. */
    private static final int DEFAULT_TARGET_PER_MILLE = 990;

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
        Namespace namespace;
        try {
            namespace = parser().parseArgs(arguments);
        } catch (HelpScreenException help) {
            return ExitCode.OK.code();
        } catch (ArgumentParserException invalid) {
            errors.println("wagtailctl: " + invalid.getMessage());
            return ExitCode.USAGE.code();
        }
        Option<HostAddress> address = HostAddress.parse(namespace.getString("address"));
        if (address.isEmpty()) {
            errors.println("wagtailctl: --address must be an IP number and a port");
            return ExitCode.USAGE.code();
        }
        Commands commands = new Commands(new InstanceClient(address.get()), out);
        return run(commands, namespace)
                .peekLeft(failure -> errors.println("wagtailctl: " + failure.detail()))
                .fold(failure -> failure.exitCode().code(), ExitCode::code);
    }

    private static Either<ControlFailure, ExitCode> run(Commands commands, Namespace namespace) {
        String name = namespace.getString("name");
        return switch (namespace.getString("command")) {
            case "apply" -> commands.apply(namespace.getString("file"), false);
            case "check" -> commands.apply(namespace.getString("file"), true);
            case "get" -> commands.get(namespace.getString("kind"), name);
            case "withdraw" -> commands.withdraw(namespace.getString("kind"), name);
            case "watch" ->
                    commands.watch(namespace.getInt("changes"), namespace.getInt("seconds"));
            case "submit" -> commands.submit(name, namespace.getString("file"));
            case "wait" -> commands.await(name, namespace.getInt("seconds"));
            case "trace" -> commands.trace(name);
            case "cancel" -> commands.cancel(name);
            case "session" -> commands.session();
            case "explain" -> commands.explain(name, namespace.getList("files"));
            default ->
                    namespace.getList("metrics") == null
                            ? commands.burn(namespace.getBoolean("json"))
                            : commands.burn(
                                    namespace.getList("metrics"), namespace.getInt("target"));
        };
    }

    private static ArgumentParser parser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("wagtailctl")
                        .build()
                        .defaultHelp(true)
                        .version("wagtailctl " + VERSION)
                        .description("Declares resources, follows jobs and reports burn.");
        parser.addArgument("--version").action(Arguments.version());
        parser.addArgument("--address")
                .setDefault("127.0.0.1:8080")
                .metavar("HOST:PORT")
                .help("any entry instance");
        Subparsers commands = parser.addSubparsers().dest("command").metavar("COMMAND");
        file(commands, "apply", "declare the resources of a file");
        file(commands, "check", "check the resources of a file without declaring them");
        Subparser get = resource(commands, "get", "show declared resources");
        get.addArgument("name").nargs("?").help("all of the kind if left out");
        resource(commands, "withdraw", "withdraw a resource").addArgument("name");
        watch(commands);
        Subparser submit = commands.addParser("submit").help("submit a job");
        submit.addArgument("name").help("SESSION.KEY, or KEY to claim a name");
        submit.addArgument("file").help("the job as a JSON document");
        Subparser await = job(commands, "wait", "wait for the end of a job and show it");
        await.addArgument("--seconds").type(Integer.class).setDefault(60);
        job(commands, "trace", "show for each task where it went and when");
        job(commands, "cancel", "cancel a job");
        Subparser explain = commands.addParser("explain").help("tell a job's story from log lines");
        explain.addArgument("name").help("the id or name of the job");
        explain.addArgument("files").nargs("*").help("log files; standard input if left out");
        commands.addParser("session").help("show a session token");
        Subparser burn = commands.addParser("burn").help("report service-level burn");
        burn.addArgument("--json").action(Arguments.storeTrue()).help("as a JSON document");
        burn.addArgument("--metrics")
                .nargs("+")
                .metavar("SOURCE")
                .help("count from metrics instead: http:// addresses or files, one an instance");
        burn.addArgument("--target")
                .type(Integer.class)
                .choices(Arguments.range(1, MAX_TARGET_PER_MILLE))
                .setDefault(DEFAULT_TARGET_PER_MILLE)
                .help("jobs of a thousand that must meet their objective, with --metrics");
        return parser;
    }

    private static void watch(Subparsers commands) {
        Subparser watch = commands.addParser("watch").help("show resources as they change");
        watch.addArgument("--changes")
                .type(Integer.class)
                .setDefault(Integer.MAX_VALUE)
                .help("stop after this many changes");
        watch.addArgument("--seconds")
                .type(Integer.class)
                .setDefault(Integer.MAX_VALUE)
                .help("stop after this time");
    }

    private static void file(Subparsers commands, String name, String help) {
        commands.addParser(name).help(help).addArgument("file").help("a JSON document or array");
    }

    private static Subparser resource(Subparsers commands, String name, String help) {
        Subparser command = commands.addParser(name).help(help);
        command.addArgument("kind").choices("service", "team");
        return command;
    }

    private static Subparser job(Subparsers commands, String name, String help) {
        Subparser command = commands.addParser(name).help(help);
        command.addArgument("name").help("the name of the job");
        return command;
    }
}
