package pearladder.testbed.growth;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router process, started by {@code run} of the deploy file on half a core, with its resource use. */
final class DeployedProcess implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern PEAK_MEMORY = Pattern.compile("VmHWM:\\s+([0-9]+) kB");
    private static final Pattern STALL = Pattern.compile("event loop stalled for ([0-9]+) ms");
    /** Indexes of user and system time in {@code /proc/PID/stat}, counted after the program name. */
    private static final int USER_TIME = 11;

    private static final int SYSTEM_TIME = 12;
    private static final double TICKS_PER_SECOND = 100;
    private static final int KB_PER_MB = 1024;
    /** Both processes are pinned to this core; two busy processes get half of it each. */
    private static final String CORE = "0";

    private final Process process;
    private final Process competingProcess;
    private final Path log;

    /**
     * Starts a router.
     *
     * @param root the repository, built
     * @param configuration configuration file of the router
     * @param log receives its output
     */
    DeployedProcess(Path root, Path configuration, Path log) throws IOException {
        this.log = log;
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException(root.resolve("deploy/balancer.toml") + " has no line run = \"...\"");
        }
        ProcessBuilder builder = new ProcessBuilder("taskset", "-c", CORE, "/bin/sh", "-c", run.group(1));
        builder.directory(root.toFile());
        builder.environment()
                .put("ROUTER_CONFIG", configuration.toAbsolutePath().toString());
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        competingProcess = new ProcessBuilder("taskset", "-c", CORE, "sh", "-c", "while :; do :; done").start();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    private Path procFile(String file) {
        return Path.of("/proc", Long.toString(process.pid()), file);
    }

    double cpuSeconds() throws IOException {
        String stat = Files.readString(procFile("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME])) / TICKS_PER_SECOND;
    }

    long peakMemoryMb() throws IOException {
        Matcher peak = PEAK_MEMORY.matcher(Files.readString(procFile("status")));
        return peak.find() ? Long.parseLong(peak.group(1)) / KB_PER_MB : 0;
    }

    int descriptors() {
        String[] open = procFile("fd").toFile().list();
        return open == null ? 0 : open.length;
    }

    /** Returns the current length of the log. */
    int logLength() throws IOException {
        return Files.readString(log).length();
    }

    /** Returns the longest stall logged after a position in the log, or zero if there is none. */
    long longestStallMillis(int from) throws IOException {
        return longest(STALL, Files.readString(log).substring(from));
    }

    private static long longest(Pattern pattern, String text) {
        return pattern.matcher(text)
                .results()
                .mapToLong(match -> Long.parseLong(match.group(1)))
                .max()
                .orElse(0);
    }

    /** Terminates the router and waits until it exits. */
    void stop() throws InterruptedException {
        process.destroy();
        process.waitFor();
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() {
        process.destroyForcibly();
        competingProcess.destroyForcibly();
    }
}
