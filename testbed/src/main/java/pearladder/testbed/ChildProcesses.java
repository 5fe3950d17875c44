package pearladder.testbed;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Child processes that run commands of this program; each is started and stopped by name. Thread-safe. */
final class ChildProcesses implements AutoCloseable {
    private static final String C1_COMPILER_ONLY = "-XX:TieredStopAtLevel=1";
    private static final long STOP_TIMEOUT_SECONDS = 15;
    private static final int EXIT_CODE_KILLED = -1;
    /** Number of last log lines in the error message of a process that did not start. */
    private static final int LOG_LINES_SHOWN = 3;

    private final List<String> program;
    private final Path folder;
    private final Map<String, Process> running = Collections.synchronizedMap(new LinkedHashMap<>());

    /**
     * Creates an empty set of processes.
     *
     * @param program the command that runs this program, to which the arguments of a command are appended
     * @param folder for the processes' logs
     */
    ChildProcesses(List<String> program, Path folder) {
        this(program, folder, false);
    }

    /**
     * Creates an empty set of processes.
     *
     * @param outnumberCores whether the processes outnumber the cores of this machine: they then use the C1 compiler
     *     only, because a dozen virtual machines that optimize the same code at once starve the measured processes of
     *     CPU
     */
    ChildProcesses(List<String> program, Path folder, boolean outnumberCores) {
        this.program = new ArrayList<>(program);
        this.folder = folder;
        if (outnumberCores) {
            this.program.add(1, C1_COMPILER_ONLY);
        }
    }

    /** Starts a process and returns the first line that it prints, a JSON object with its ports. */
    String start(String name, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(program);
        command.addAll(List.of(arguments));
        Path log = folder.resolve(name + ".log");
        Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        running.put(name, process);
        process.getOutputStream().close();
        String line =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8)).readLine();
        if (line == null) {
            throw new IOException(name + " did not start: " + lastLinesOf(log));
        }
        return line;
    }

    private static String lastLinesOf(Path log) throws IOException {
        List<String> lines = Files.readAllLines(log);
        if (lines.isEmpty()) {
            return "its log is empty";
        }
        return String.join(" / ", lines.subList(Math.max(0, lines.size() - LOG_LINES_SHOWN), lines.size()));
    }

    /** Kills a process without a graceful shutdown. */
    void kill(String name) {
        Process process = running.get(name);
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Returns whether a process is running. */
    boolean alive(String name) {
        Process process = running.get(name);
        return process != null && process.isAlive();
    }

    /** Terminates a process gracefully and returns its exit code, or -1 if it had to be killed. */
    int stop(String name) {
        Process process = running.remove(name);
        if (process == null) {
            return 0;
        }
        process.destroy();
        try {
            if (process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                return process.exitValue();
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        process.destroyForcibly();
        return EXIT_CODE_KILLED;
    }

    @Override
    public void close() {
        List.copyOf(running.keySet()).forEach(this::stop);
    }

    /** Returns the named number in the line that a process printed. */
    static int number(String line, String name) throws IOException {
        Matcher found = Pattern.compile("\"" + name + "\":([0-9]+)").matcher(line);
        if (!found.find()) {
            throw new IOException("no " + name + " in " + line);
        }
        return Integer.parseInt(found.group(1));
    }
}
