package pearladder.testbed;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The day's own child processes: started with this program's command, ended one by one and only these. */
final class ChildProcesses implements AutoCloseable {
    private final List<String> program;
    private final Path folder;
    private final Map<String, Process> running = java.util.Collections.synchronizedMap(new LinkedHashMap<>());

    /** @param program the command that runs this program, to which a command's own words are added */
    ChildProcesses(List<String> program, Path folder) {
        this(program, folder, false);
    }

    /**
     * @param crowded many processes for few cores: guards against a dozen machines that optimize the same code at once and
     *     starve what they measure; they then stop at the first compiler
     */
    ChildProcesses(List<String> program, Path folder, boolean crowded) {
        this.program = new ArrayList<>(program);
        this.folder = folder;
        if (crowded) {
            this.program.add(1, "-XX:TieredStopAtLevel=1");
        }
    }

    /** Starts one and returns the first line that it prints, which tells its ports. */
    String start(String name, String... words) throws IOException {
        List<String> command = new ArrayList<>(program);
        command.addAll(List.of(words));
        Path log = folder.resolve(name + ".log");
        Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        running.put(name, process);
        process.getOutputStream().close();
        String line =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8)).readLine();
        if (line == null) {
            List<String> said = Files.readAllLines(log);
            throw new IOException(name + " did not start: "
                    + (said.isEmpty()
                            ? "it said nothing"
                            : String.join(" / ", said.subList(Math.max(0, said.size() - 3), said.size()))));
        }
        return line;
    }

    /** Kills one outright. */
    void kill(String name) {
        Process process = running.get(name);
        if (process != null) {
            process.destroyForcibly();
        }
    }

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
            if (process.waitFor(15, TimeUnit.SECONDS)) {
                return process.exitValue();
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        process.destroyForcibly();
        return -1;
    }

    @Override
    public void close() {
        List.copyOf(running.keySet()).forEach(this::stop);
    }

    /** A number in the line that a process printed, by its name. */
    static int number(String line, String name) throws IOException {
        java.util.regex.Matcher found =
                java.util.regex.Pattern.compile("\"" + name + "\":([0-9]+)").matcher(line);
        if (!found.find()) {
            throw new IOException("no " + name + " in " + line);
        }
        return Integer.parseInt(found.group(1));
    }
}
