import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What all cases need: the record, threads, and the router's process with its configuration. */
final class Cases {
    interface Task {
        void run() throws Exception;
    }

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long START = System.nanoTime();
    private static PrintWriter record;

    private Cases() {}

    /** Starts a background thread that ends with its first exception. */
    static Thread daemon(String name, Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (Exception ended) {
                        // the connection has ended
                    }
                },
                name,
                128 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void open(Path file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(file), true);
        log("trouble: " + (TROUBLE ? "yes" : "no"));
    }

    /** Writes a line with the milliseconds since the start to the record and to standard output. */
    static synchronized void log(String line) {
        String text = String.format("%7d ms  %s", (System.nanoTime() - START) / 1_000_000, line);
        System.out.println(text);
        if (record != null) {
            record.println(text);
        }
    }

    /** Writes a line to the record only. */
    static synchronized void note(String line) {
        if (record != null) {
            record.println(String.format("%7d ms  %s", (System.nanoTime() - START) / 1_000_000, line));
        }
    }

    /** Ends this process and what it started with code 2 if the case takes too long. */
    static void limit(int seconds) {
        daemon("limit", () -> {
            Thread.sleep(seconds * 1000L);
            log("the case took over " + seconds + " s: it could not run");
            System.exit(2);
        });
    }

    /** Measures how late a thread of this process wakes up: its own lateness must not count as the router's. */
    static final class Lateness {
        private volatile long maxMillis;

        Lateness() {
            daemon("lateness", () -> {
                while (true) {
                    long before = System.nanoTime();
                    Thread.sleep(5);
                    maxMillis = Math.max(maxMillis, (System.nanoTime() - before) / 1_000_000 - 5);
                }
            });
        }

        long maxMillis() {
            return maxMillis;
        }
    }

    /** Starts another main class of these stand-ins in a process of its own, which ends with this one. */
    static Process start(Class<?> main, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx512m",
                "-cp",
                System.getProperty("java.class.path"),
                main.getName()));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        daemon("output", () -> {
            try (var lines = process.inputReader()) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    note(line);
                }
            }
        });
        return process;
    }

    static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return any.getLocalPort();
        }
    }

    /** The project's router, started by {@code run} of the deploy file from the project's root. */
    static final class Router implements AutoCloseable {
        private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"\\s*(#.*)?$");

        final int port;
        final Path folder;
        final Process process;

        /** @param settings the nested settings object; {@code memoryMb} and {@code sockets} are the limits */
        Router(Path root, String settings, int memoryMb, int sockets, Feed feed) throws IOException {
            folder = Files.createTempDirectory("router");
            port = freePort();
            write(settings, memoryMb, sockets, feed);
            Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!run.find()) {
                throw new IOException("the deploy file has no run command");
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
            builder.directory(root.toFile());
            builder.environment().put("ROUTER_NAME", "n1");
            builder.environment().put("ROUTER_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("ROUTER_CONFIG", config().toString());
            builder.environment().put("TMPDIR", folder.toString());
            process = builder.redirectErrorStream(true)
                    .redirectOutput(folder.resolve("log").toFile())
                    .start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        }

        Path config() {
            return folder.resolve("config.json");
        }

        void write(String settings, int memoryMb, int sockets, Feed feed) throws IOException {
            Path next = folder.resolve("config.next");
            Files.writeString(
                    next,
                    "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"seed\":\"8c1f30d27a5be964\","
                            + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},"
                            + "\"feed\":\"127.0.0.1:" + feed.port() + "\",\"known\":" + feed.known() + ",\"settings\":"
                            + settings + "}");
            Files.move(next, config(), StandardCopyOption.ATOMIC_MOVE);
        }

        /** Waits until the router answers {@code check} with true. */
        void awaitReady() throws Exception {
            long until = System.nanoTime() + 30_000_000_000L;
            while (System.nanoTime() < until && process.isAlive()) {
                try (Client client = new Client(port)) {
                    Client.Answer answer = client.await(client.sendCheck(), 2000);
                    if (answer != null && answer.served()) {
                        return;
                    }
                } catch (IOException notYet) {
                    // it does not listen yet
                }
                Thread.sleep(50);
            }
            throw new IOException("the router is not ready:\n" + log());
        }

        void signal(String signal) throws Exception {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        String log() throws IOException {
            return Files.readString(folder.resolve("log"));
        }

        @Override
        public void close() throws IOException {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
            note("the router's log:");
            note(log());
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        }
    }
}
