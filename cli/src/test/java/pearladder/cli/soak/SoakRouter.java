package pearladder.cli.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.msgpack.core.MessageUnpacker;
import pearladder.cli.DeployedRouter;

/** Runs a router process: writes its configuration, starts and stops it, and sends it signals. */
final class SoakRouter {
    private static final long SECOND_SIGTERM_DELAY_MILLIS = 80;
    private static final long READY_POLL_MILLIS = 50;
    private static final long RELOADABLE_AFTER_READY_MILLIS = 1000;
    /** The platform gives a router half a core. */
    private static final int ROUTERS_PER_CORE = 2;
    /** {@code sockets} of the configuration. */
    private static final int DESCRIPTORS = 512;

    private static final long READY_TIMEOUT_SECONDS = 60;
    private static final long ACCEPTS_AFTER_SIGTERM_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    final String name;
    final int port;
    private final int core;
    private final Path folder;
    private final RouterStarts starts;
    private final MachineLateness lateness;
    private volatile Process process;
    private volatile int incarnation;
    /** When SIGTERM was sent to the current process; zero before. */
    private volatile long terminatedAt;

    private volatile boolean stopping;
    private volatile int reloadableIncarnation;

    /** @param number two routers of successive numbers share a core */
    SoakRouter(String name, int number, Path folder, RouterStarts starts, MachineLateness lateness) throws IOException {
        this.name = name;
        this.core = number / ROUTERS_PER_CORE % Runtime.getRuntime().availableProcessors();
        this.starts = starts;
        this.lateness = lateness;
        this.folder = Files.createDirectories(folder);
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            this.port = any.getLocalPort();
        }
    }

    int incarnation() {
        return incarnation;
    }

    /** Marks the router as being stopped or killed; it gets no other faults until it is started again. */
    void onStopBegins() {
        stopping = true;
    }

    /** Marks the router as started again and in service. */
    void onStopEnded() {
        stopping = false;
    }

    /** Returns whether the process runs and is not being stopped. */
    boolean isInService() {
        return isAlive() && !stopping;
    }

    private boolean isAlive() {
        Process current = process;
        return current != null && current.isAlive();
    }

    /** Returns whether clients may open connections to the router: until 300 ms after SIGTERM. */
    boolean isOpenForConnections() {
        long signalledAt = terminatedAt;
        return isAlive() && (signalledAt == 0 || System.nanoTime() - signalledAt < ACCEPTS_AFTER_SIGTERM_NANOS);
    }

    void start(String configuration) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), configuration);
        ProcessBuilder builder =
                DeployedRouter.command(file, "ulimit -n " + DESCRIPTORS + "; taskset -cp " + core + " $$ >/dev/null; ");
        terminatedAt = 0;
        long startedAt = System.nanoTime();
        process = builder.redirectErrorStream(true)
                .redirectOutput(
                        ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()))
                .start();
        int started = ++incarnation;
        process.onExit().thenAccept(ended -> {
            if (incarnation == started && !stopping) {
                starts.onCrash(name, "ended by itself with status " + ended.exitValue());
            }
        });
        Background.run(() -> watchStart(started, startedAt));
    }

    private void watchStart(int started, long startedAt) throws InterruptedException {
        long deadline = startedAt + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        while (incarnation == started && isAlive() && !isReady()) {
            if (System.nanoTime() > deadline) {
                starts.onCrash(name, "is not ready after " + READY_TIMEOUT_SECONDS + " s");
                return;
            }
            Thread.sleep(READY_POLL_MILLIS);
        }
        if (incarnation == started && isInService()) {
            long now = System.nanoTime();
            starts.onReady(name, TimeUnit.NANOSECONDS.toMillis(now - startedAt), lateness.millis(startedAt, now));
        }
        Thread.sleep(RELOADABLE_AFTER_READY_MILLIS);
        reloadableIncarnation = started;
    }

    /** Returns whether SIGHUP may be sent: only from one second after the router became ready. */
    boolean isReloadable() {
        return isInService() && reloadableIncarnation == incarnation;
    }

    void awaitReady() throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        while (!isReady()) {
            if (System.nanoTime() > deadline || !process.isAlive()) {
                throw new IllegalStateException(name + " did not become ready\n" + log());
            }
            Thread.sleep(20);
        }
    }

    private boolean isReady() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                MessageUnpacker responses = ClientWire.reader(socket)) {
            socket.getOutputStream().write(ClientWire.check());
            return responses
                    .unpackValue()
                    .asArrayValue()
                    .get(3)
                    .asArrayValue()
                    .get(0)
                    .asBooleanValue()
                    .getBoolean();
        } catch (IOException notYet) {
            return false;
        }
    }

    /** Pauses the process with SIGSTOP for the given time. */
    void pause(long millis) throws IOException, InterruptedException {
        signal("STOP");
        Thread.sleep(millis);
        signal("CONT");
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Writes a new configuration and sends SIGHUP. */
    void reload(String configuration) throws IOException, InterruptedException {
        Files.writeString(folder.resolve("config.json"), configuration);
        signal("HUP");
    }

    /**
     * Sends SIGTERM; returns the exit status, or null where the process did not end before the kill deadline.
     *
     * @param signalTwice whether the signal is sent twice
     */
    Integer terminate(long killAfterMillis, boolean signalTwice) throws IOException, InterruptedException {
        long waitMillis = killAfterMillis;
        terminatedAt = System.nanoTime();
        signal("TERM");
        if (signalTwice) {
            Thread.sleep(SECOND_SIGTERM_DELAY_MILLIS);
            signal("TERM");
            waitMillis -= SECOND_SIGTERM_DELAY_MILLIS;
        }
        return process.waitFor(waitMillis, TimeUnit.MILLISECONDS) ? process.exitValue() : null;
    }

    void kill() throws InterruptedException {
        stopping = true;
        Process current = process;
        if (current != null) {
            current.destroyForcibly().waitFor();
        }
    }

    String log() {
        try {
            return Files.readString(folder.resolve("log"));
        } catch (IOException unread) {
            throw new UncheckedIOException(unread);
        }
    }
}
