package pearladder.eventlog;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.List;
import java.util.Locale;
import java.util.Properties;
import java.util.function.Consumer;
import org.sqlite.JDBC;

/** One file of records: batches by the number of their first entry. */
final class LogSegment implements AutoCloseable {
    /** The format that this build writes; it reads this one and older ones. */
    static final int FORMAT = 1;

    private static final String NAME = "records-%016d.db";

    /** A batch as it stands in the file. */
    record Stored(long first, int count, long sum, byte[] bytes) {
        /** What is wrong with it, or empty. */
        String damage() {
            if (LogBatch.sum(bytes) != sum) {
                return "its checksum is another one";
            }
            try {
                return LogBatch.decode(bytes).size() <= count ? "" : "it holds more entries than it says";
            } catch (IOException unreadable) {
                return unreadable.getMessage();
            }
        }
    }

    interface Taker {
        void take(Stored batch) throws IOException;
    }

    final Path file;
    private final Connection connection;

    private LogSegment(Path file, Connection connection) {
        this.file = file;
        this.connection = connection;
    }

    static Path file(Path folder, long first) {
        return folder.resolve(String.format(Locale.ROOT, NAME, first));
    }

    /** The first entry's number by a file's name, or -1 for a file that is no segment. */
    static long first(Path file) {
        String name = file.getFileName().toString();
        return name.matches("records-[0-9]{16}\\.db") ? Long.parseLong(name.substring(8, 24)) : -1;
    }

    /** Opens for writing, new or as it was left; what was acknowledged before a crash is there. */
    static LogSegment write(Path file) throws IOException {
        Properties terms = new Properties();
        // A commit is on disk when it returns. The log is folded into the file now and then, each time with a sync.
        terms.setProperty("journal_mode", "WAL");
        terms.setProperty("synchronous", "FULL");
        LogSegment segment = new LogSegment(file, connect("jdbc:sqlite:" + file, terms, file));
        try (Statement made = segment.connection.createStatement()) {
            made.execute("create table if not exists meta(name text primary key, value integer) without rowid");
            made.execute(
                    "create table if not exists batch(first integer primary key, count integer, until integer, sum integer,"
                            + " bytes blob)");
            made.execute("insert or ignore into meta values('format', " + FORMAT + ")");
            segment.checkFormat();
        } catch (SQLException broken) {
            segment.close();
            throw new IOException(file + ": " + broken.getMessage(), broken);
        }
        return segment;
    }

    /** Opens for reading, beside a writer or alone, on a disk that may be read-only. */
    static LogSegment read(Path file) throws IOException {
        Properties terms = new Properties();
        terms.setProperty("open_mode", "1");
        LogSegment segment = new LogSegment(file, connect("jdbc:sqlite:" + file, terms, file));
        try {
            segment.checkFormat();
            return segment;
        } catch (SQLException alone) {
            segment.close();
        }
        LogSegment still = new LogSegment(
                file, connect("jdbc:sqlite:file:" + file.toAbsolutePath() + "?immutable=1", new Properties(), file));
        try {
            still.checkFormat();
            return still;
        } catch (SQLException broken) {
            still.close();
            throw new IOException(file + ": " + broken.getMessage(), broken);
        }
    }

    private static Connection connect(String url, Properties terms, Path file) throws IOException {
        terms.setProperty("busy_timeout", "2000");
        try {
            return JDBC.createConnection(url, terms);
        } catch (SQLException broken) {
            throw new IOException(file + ": " + broken.getMessage(), broken);
        }
    }

    private void checkFormat() throws SQLException, IOException {
        try (Statement asked = connection.createStatement();
                ResultSet found = asked.executeQuery("select value from meta where name = 'format'")) {
            int format = found.next() ? found.getInt(1) : 0;
            if (format > FORMAT || format < 1) {
                close();
                throw new UnsupportedFormatException(file, format);
            }
        }
    }

    /** Adds a batch; it is on disk when this returns. */
    void append(long first, List<LogEntry> entries) throws IOException {
        byte[] bytes = LogBatch.encode(LogBatch.rows(entries));
        put(
                new Stored(first, entries.size(), LogBatch.sum(bytes), bytes),
                entries.get(entries.size() - 1).at());
    }

    void put(Stored batch, long until) throws IOException {
        try (PreparedStatement added = connection.prepareStatement("insert into batch values(?, ?, ?, ?, ?)")) {
            added.setLong(1, batch.first());
            added.setInt(2, batch.count());
            added.setLong(3, until);
            added.setLong(4, batch.sum());
            added.setBytes(5, batch.bytes());
            added.executeUpdate();
        } catch (SQLException failed) {
            throw new IOException(file + ": " + failed.getMessage(), failed);
        }
    }

    /** Many batches in one go, for copies of a segment. */
    void together(boolean begin) throws IOException {
        try {
            if (begin) {
                connection.setAutoCommit(false);
            } else {
                connection.commit();
                connection.setAutoCommit(true);
            }
        } catch (SQLException failed) {
            throw new IOException(file + ": " + failed.getMessage(), failed);
        }
    }

    /** The number that the next entry gets; the file's own first where it is empty. */
    long next() throws IOException {
        return number("select first + count from batch order by first desc limit 1", first(file));
    }

    /** When its newest batch was written, wall clock in milliseconds; 0 where it is empty. */
    long until() throws IOException {
        return number("select until from batch order by first desc limit 1", 0);
    }

    private long number(String question, long otherwise) throws IOException {
        try (Statement asked = connection.createStatement();
                ResultSet found = asked.executeQuery(question)) {
            return found.next() ? found.getLong(1) : otherwise;
        } catch (SQLException broken) {
            throw new IOException(file + ": " + broken.getMessage(), broken);
        }
    }

    /** Every batch in its order. */
    void batches(Taker taker) throws IOException {
        batches(0, taker);
    }

    /** Every batch in its order, from the one that holds a number on. */
    void batches(long from, Taker taker) throws IOException {
        try (PreparedStatement asked =
                connection.prepareStatement("select first, count, sum, bytes from batch where first >="
                        + " ifnull((select max(first) from batch where first <= ?), 0) order by first")) {
            asked.setLong(1, from);
            try (ResultSet found = asked.executeQuery()) {
                while (found.next()) {
                    taker.take(new Stored(found.getLong(1), found.getInt(2), found.getLong(3), found.getBytes(4)));
                }
            }
        } catch (SQLException broken) {
            throw new IOException(file + ": " + broken.getMessage(), broken);
        }
    }

    /** The batch behind a number, or null. */
    Stored after(long number) throws IOException {
        try (PreparedStatement asked = connection.prepareStatement(
                "select first, count, sum, bytes from batch where first > ?" + " order by first limit 1")) {
            asked.setLong(1, number);
            try (ResultSet found = asked.executeQuery()) {
                return found.next()
                        ? new Stored(found.getLong(1), found.getInt(2), found.getLong(3), found.getBytes(4))
                        : null;
            }
        } catch (SQLException broken) {
            throw new IOException(file + ": " + broken.getMessage(), broken);
        }
    }

    /** Damage that the store itself finds in the file's structure. */
    void structure(Consumer<String> found) throws IOException {
        try (Statement asked = connection.createStatement();
                ResultSet said = asked.executeQuery("pragma quick_check")) {
            while (said.next()) {
                if (!said.getString(1).equals("ok")) {
                    found.accept(said.getString(1));
                }
            }
        } catch (SQLException broken) {
            found.accept(broken.getMessage());
        }
    }

    /** Bytes of the file and its log. */
    static long bytes(Path file) {
        long all = 0;
        for (String suffix : List.of("", "-wal")) {
            try {
                all += Files.size(Path.of(file + suffix));
            } catch (IOException none) {
                all += 0;
            }
        }
        return all;
    }

    static void delete(Path file) throws IOException {
        for (String suffix : List.of("-wal", "-shm", "")) {
            Files.deleteIfExists(Path.of(file + suffix));
        }
    }

    @Override
    public void close() {
        try {
            connection.close();
        } catch (SQLException lost) {
            // what was acknowledged is on disk; the next opening folds the log in
            return;
        }
    }
}
