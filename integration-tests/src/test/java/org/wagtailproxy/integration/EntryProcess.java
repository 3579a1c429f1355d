package org.wagtailproxy.integration;

import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs an entry instance as a separate process, which can be killed, paused and restarted. */
final class EntryProcess implements Closeable {

    private static final String MAIN_CLASS = "org.wagtailproxy.serve.Main";

    private final String mName;
    private final Path mSettingsFile;
    private final File mLogFile;
    private final List<String> mJvmOptions;
    private Process mProcess;

    EntryProcess(String name, Path folder, String settings, List<String> jvmOptions)
            throws IOException {
        mName = name;
        mSettingsFile = folder.resolve(name + ".ini");
        mLogFile = folder.resolve(name + ".log").toFile();
        mJvmOptions = jvmOptions;
        Files.writeString(mSettingsFile, settings);
    }

    void start() throws IOException {
        List<String> command = new ArrayList<>(javaCommand());
        command.addAll(mJvmOptions);
        command.addAll(List.of(MAIN_CLASS, "serve", "--settings", mSettingsFile.toString()));
        mProcess =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(mLogFile))
                        .start();
        Process started = mProcess;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    /** Returns the command line, up to the class name, that runs a class of the workspace. */
    static List<String> javaCommand() {
        String classPath =
                System.getProperty(
                        "surefire.test.class.path", System.getProperty("java.class.path"));
        String javaHome = System.getProperty("java.home");
        return List.of(
                javaHome + "/bin/java",
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

    /** Kills the process with SIGKILL, as a crash does, and waits for its exit. */
    void kill() throws InterruptedException {
        mProcess.destroyForcibly().waitFor();
    }

    /** Requests a planned stop with SIGTERM. */
    void terminate() {
        mProcess.destroy();
    }

    int awaitExit(long seconds) throws InterruptedException {
        if (!mProcess.waitFor(seconds, TimeUnit.SECONDS)) {
            throw new IllegalStateException(mName + " did not exit within " + seconds + " s");
        }
        return mProcess.exitValue();
    }

    /** Suspends the process with SIGSTOP; its connections stay open. */
    void pause() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Continues a suspended process. */
    void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    String log() throws IOException {
        return mLogFile.exists() ? Files.readString(mLogFile.toPath()) : "";
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
