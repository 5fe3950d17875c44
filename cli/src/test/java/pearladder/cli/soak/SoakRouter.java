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

/** One router: its configuration, its process, and the signals sent to it. */
final class SoakRouter {
    private static final long READY_TIMEOUT_SECONDS = 60;

    final String name;
    final int port;
    private final Path folder;
    private volatile Process process;
    private volatile int incarnation;
    /** When SIGTERM was sent to the current process; zero before. */
    private volatile long terminatedAt;

    SoakRouter(String name, Path folder) throws IOException {
        this.name = name;
        this.folder = Files.createDirectories(folder);
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            this.port = any.getLocalPort();
        }
    }

    int incarnation() {
        return incarnation;
    }

    long terminatedAt() {
        return terminatedAt;
    }

    /** Whether clients may send it requests now. */
    boolean isOpenForRequests() {
        Process current = process;
        return current != null && current.isAlive() && terminatedAt == 0;
    }

    void start(String configuration) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), configuration);
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx48m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "pearladder.cli.Main",
                "platform");
        builder.environment().put("ROUTER_CONFIG", file.toString());
        terminatedAt = 0;
        process = builder.redirectErrorStream(true)
                .redirectOutput(
                        ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()))
                .start();
        incarnation++;
    }

    void awaitReady() throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        while (!isReady()) {
            if (System.nanoTime() > deadline || !process.isAlive()) {
                throw new IllegalStateException(name + " does not get ready\n" + log());
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

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Writes a new configuration and has the router read it. */
    void reload(String configuration) throws IOException, InterruptedException {
        Files.writeString(folder.resolve("config.json"), configuration);
        signal("HUP");
    }

    /** Stops the router in order; returns its exit status, or null where it did not end within the time. */
    Integer terminate(long waitMillis) throws IOException, InterruptedException {
        terminatedAt = System.nanoTime();
        signal("TERM");
        return process.waitFor(waitMillis, TimeUnit.MILLISECONDS) ? process.exitValue() : null;
    }

    void kill() throws InterruptedException {
        Process current = process;
        if (current != null) {
            current.destroyForcibly().waitFor();
        }
    }

    /** The exit status of a router that has ended, or null. */
    Integer exitStatus() {
        return process.isAlive() ? null : process.exitValue();
    }

    String log() {
        try {
            return Files.readString(folder.resolve("log"));
        } catch (IOException unread) {
            throw new UncheckedIOException(unread);
        }
    }
}
