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

/** Simulates disk stalls of a running router: locks its event log for half a second out of every two. */
final class DiskStallInjector implements AutoCloseable {
    private static final long STALL_MILLIS = 500;
    private static final long PERIOD_MILLIS = 2000;
    private static final String BUSY_TIMEOUT_MILLIS = "1000";

    private final CountDownLatch ended = new CountDownLatch(1);
    private final Thread thread;

    private DiskStallInjector(Path file) {
        this.thread = new Thread(() -> run(file), "disk-stalls");
        thread.setDaemon(true);
    }

    /** Starts stalling writes to the newest segment of the event log in a folder. */
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
        Properties settings = new Properties();
        settings.setProperty("busy_timeout", BUSY_TIMEOUT_MILLIS);
        try (Connection connection = JDBC.createConnection("jdbc:sqlite:" + file, settings);
                Statement lock = connection.createStatement()) {
            while (!ended.await(PERIOD_MILLIS - STALL_MILLIS, TimeUnit.MILLISECONDS)) {
                lock.execute("begin immediate");
                boolean last = ended.await(STALL_MILLIS, TimeUnit.MILLISECONDS);
                lock.execute("rollback");
                if (last) {
                    return;
                }
            }
        } catch (SQLException | InterruptedException failed) {
            throw new IllegalStateException("disk stall injection failed: " + failed.getMessage(), failed);
        }
    }

    @Override
    public void close() {
        ended.countDown();
    }
}
