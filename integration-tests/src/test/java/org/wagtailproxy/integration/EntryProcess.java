package org.wagtailproxy.integration;

import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One entry instance as a real process. */
final class EntryProcess implements Closeable {

    private static final String MAIN = "org.wagtailproxy.serve.Main";

    private final String mName;
    private final Path mSettings;
    private final File mLog;
    private final List<String> mOptions;
    private Process mProcess;

    EntryProcess(String name, Path folder, String settings, List<String> options)
            throws IOException {
        mName = name;
        mSettings = folder.resolve(name + ".ini");
        mLog = folder.resolve(name + ".log").toFile();
        mOptions = options;
        Files.writeString(mSettings, settings);
    }

    void start() throws IOException {
        List<String> command = new ArrayList<>(java());
        command.addAll(mOptions);
        command.addAll(List.of(MAIN, "serve", "--settings", mSettings.toString()));
        mProcess =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(mLog))
                        .start();
        Process started = mProcess;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    /** Returns the start of a command that runs a class of the workspace. */
    static List<String> java() {
        String classPath =
                System.getProperty(
                        "surefire.test.class.path", System.getProperty("java.class.path"));
        String home = System.getProperty("java.home");
        return List.of(
                home + "/bin/java",
                "-cp",
                classPath,
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx256m");
    }

    String name() {
        return mName;
    }

    long pid() {
        return mProcess.pid();
    }

    boolean isAlive() {
        return mProcess != null && mProcess.isAlive();
    }

    /** Ends the process at once, as a crash does. */
    void kill() throws InterruptedException {
        mProcess.destroyForcibly().waitFor();
    }

    /** Asks the process to stop as planned. */
    void terminate() {
        mProcess.destroy();
    }

    int awaitExit(long seconds) throws InterruptedException {
        if (!mProcess.waitFor(seconds, TimeUnit.SECONDS)) {
            throw new IllegalStateException(mName + " did not exit within " + seconds + " s");
        }
        return mProcess.exitValue();
    }

    /** Stops the process from running without ending it. */
    void pause() throws IOException, InterruptedException {
        signal("STOP");
    }

    void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    String log() throws IOException {
        return mLog.exists() ? Files.readString(mLog.toPath()) : "";
    }

    @Override
    public void close() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
        }
    }

    private void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(mProcess.pid())).start().waitFor();
    }
}
