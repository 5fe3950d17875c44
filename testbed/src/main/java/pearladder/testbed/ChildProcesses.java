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

/** Child processes that run this program's commands; started, and ended one by one, by name. Thread-safe. */
final class ChildProcesses implements AutoCloseable {
    private static final String FIRST_COMPILER_ONLY = "-XX:TieredStopAtLevel=1";
    private static final long STOP_TIMEOUT_SECONDS = 15;
    private static final int KILLED = -1;
    /** Lines of its log that are shown where a process did not start. */
    private static final int LOG_LINES_SHOWN = 3;

    private final List<String> program;
    private final Path folder;
    private final Map<String, Process> running = Collections.synchronizedMap(new LinkedHashMap<>());

    /**
     * Creates an empty set of processes.
     *
     * @param program the command that runs this program, to which a command's own words are added
     * @param folder for the processes' logs
     */
    ChildProcesses(List<String> program, Path folder) {
        this(program, folder, false);
    }

    /**
     * Creates an empty set of processes.
     *
     * @param crowded whether they are many for the cores of this machine: they then use the first compiler only, as a
     *     dozen virtual machines that optimize the same code at once starve what is measured
     */
    ChildProcesses(List<String> program, Path folder, boolean crowded) {
        this.program = new ArrayList<>(program);
        this.folder = folder;
        if (crowded) {
            this.program.add(1, FIRST_COMPILER_ONLY);
        }
    }

    /** Starts one and returns the first line that it prints, a JSON object with its ports. */
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
            throw new IOException(name + " did not start: " + endOf(log));
        }
        return line;
    }

    private static String endOf(Path log) throws IOException {
        List<String> lines = Files.readAllLines(log);
        if (lines.isEmpty()) {
            return "it said nothing";
        }
        return String.join(" / ", lines.subList(Math.max(0, lines.size() - LOG_LINES_SHOWN), lines.size()));
    }

    /** Kills one outright. */
    void kill(String name) {
        Process process = running.get(name);
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Whether one runs. */
    boolean alive(String name) {
        Process process = running.get(name);
        return process != null && process.isAlive();
    }

    /** Asks one to end and returns its exit code, or -1 where it had to be killed. */
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
        return KILLED;
    }

    @Override
    public void close() {
        List.copyOf(running.keySet()).forEach(this::stop);
    }

    /** A number in the line that a process printed, by its name. */
    static int number(String line, String name) throws IOException {
        Matcher found = Pattern.compile("\"" + name + "\":([0-9]+)").matcher(line);
        if (!found.find()) {
            throw new IOException("no " + name + " in " + line);
        }
        return Integer.parseInt(found.group(1));
    }
}
