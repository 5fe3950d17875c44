package pearladder.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.List;
import java.util.Properties;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.sqlite.JDBC;

/** Lets a running router's records stand still for half a second out of two: their newest file is locked for writing. */
final class DiskStallInjector implements AutoCloseable {
    private static final long STILL = 500;
    private static final long EVERY = 2000;

    private final CountDownLatch ended = new CountDownLatch(1);
    private final Thread thread;

    private DiskStallInjector(Path file) {
        this.thread = new Thread(() -> run(file), "stalls");
        thread.setDaemon(true);
    }

    static DiskStallInjector begin(Path folder) throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.list(folder)) {
            files = all.filter(file -> file.toString().endsWith(".db")).sorted().toList();
        }
        DiskStallInjector stalls = new DiskStallInjector(files.get(files.size() - 1));
        stalls.thread.start();
        return stalls;
    }

    private void run(Path file) {
        Properties terms = new Properties();
        terms.setProperty("busy_timeout", "1000");
        try (Connection connection = JDBC.createConnection("jdbc:sqlite:" + file, terms);
                Statement lock = connection.createStatement()) {
            while (!ended.await(EVERY - STILL, TimeUnit.MILLISECONDS)) {
                lock.execute("begin immediate");
                boolean over = ended.await(STILL, TimeUnit.MILLISECONDS);
                lock.execute("rollback");
                if (over) {
                    return;
                }
            }
        } catch (SQLException | InterruptedException failed) {
            throw new IllegalStateException("the stalls ended: " + failed.getMessage(), failed);
        }
    }

    @Override
    public void close() {
        ended.countDown();
    }
}
