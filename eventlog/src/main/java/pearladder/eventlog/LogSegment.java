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

/** One file of an event log: an SQLite database of batches, by the number of their first entry. */
final class LogSegment implements AutoCloseable {
    /** The format that is written; this one and older ones are read. */
    static final int FORMAT = 1;

    /** Of a segment's file name, which has the number of its first entry. */
    static final String FILE_PATTERN = "records-[0-9]{16}\\.db";

    private static final String FILE_FORMAT = "records-%016d.db";
    private static final int NUMBER_START = "records-".length();
    private static final int NUMBER_END = NUMBER_START + 16;
    private static final String WAL_SUFFIX = "-wal";
    private static final String SHARED_MEMORY_SUFFIX = "-shm";
    private static final String BUSY_TIMEOUT_MILLIS = "2000";

    private static final String CREATE_META =
            "create table if not exists meta(name text primary key, value integer) without rowid";
    private static final String CREATE_BATCH =
            "create table if not exists batch(first integer primary key, count integer, until integer, sum integer,"
                    + " bytes blob)";
    private static final String INSERT_FORMAT = "insert or ignore into meta values('format', " + FORMAT + ")";
    private static final String SELECT_FORMAT = "select value from meta where name = 'format'";
    private static final String INSERT_BATCH = "insert into batch values(?, ?, ?, ?, ?)";
    private static final String SELECT_NEXT = "select first + count from batch order by first desc limit 1";
    private static final String SELECT_UNTIL = "select until from batch order by first desc limit 1";
    private static final String SELECT_FROM = "select first, count, sum, bytes from batch where first >="
            + " ifnull((select max(first) from batch where first <= ?), 0) order by first";
    private static final String SELECT_AFTER =
            "select first, count, sum, bytes from batch where first > ? order by first limit 1";

    /**
     * A batch as it is in the file.
     *
     * @param first the number of its first entry
     * @param count of its entries when it was written
     * @param sum the checksum that was written with it
     * @param bytes its entries, encoded by {@link LogBatch}
     */
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

    /** Gets batches in their order. */
    interface BatchConsumer {
        void accept(Stored batch) throws IOException;
    }

    final Path file;
    private final Connection connection;

    private LogSegment(Path file, Connection connection) {
        this.file = file;
        this.connection = connection;
    }

    /** The file of a segment by the number of its first entry. */
    static Path file(Path directory, long first) {
        return directory.resolve(String.format(Locale.ROOT, FILE_FORMAT, first));
    }

    /** The number of a segment's first entry by its file's name, or -1 for a file that is no segment. */
    static long first(Path file) {
        String name = file.getFileName().toString();
        return name.matches(FILE_PATTERN) ? Long.parseLong(name.substring(NUMBER_START, NUMBER_END)) : -1;
    }

    /** Opens for writing, creates the file where it is missing; what was committed before a crash is there. */
    static LogSegment write(Path file) throws IOException {
        Properties options = new Properties();
        // A commit is on disk when it returns. The write-ahead log is checkpointed now and then, each time with a
        // sync.
        options.setProperty("journal_mode", "WAL");
        options.setProperty("synchronous", "FULL");
        LogSegment segment = new LogSegment(file, connect("jdbc:sqlite:" + file, options, file));
        try (Statement statement = segment.connection.createStatement()) {
            statement.execute(CREATE_META);
            statement.execute(CREATE_BATCH);
            statement.execute(INSERT_FORMAT);
            segment.checkFormat();
        } catch (SQLException failure) {
            segment.close();
            throw segment.failed(failure);
        }
        return segment;
    }

    /** Opens for reading, beside a writer or alone; the file system may be read-only. */
    static LogSegment read(Path file) throws IOException {
        Properties readOnly = new Properties();
        readOnly.setProperty("open_mode", "1");
        LogSegment segment = new LogSegment(file, connect("jdbc:sqlite:" + file, readOnly, file));
        try {
            segment.checkFormat();
            return segment;
        } catch (SQLException notReadableBesideWriter) {
            segment.close();
        }
        String immutableUrl = "jdbc:sqlite:file:" + file.toAbsolutePath() + "?immutable=1";
        LogSegment immutable = new LogSegment(file, connect(immutableUrl, new Properties(), file));
        try {
            immutable.checkFormat();
            return immutable;
        } catch (SQLException failure) {
            immutable.close();
            throw immutable.failed(failure);
        }
    }

    private static Connection connect(String url, Properties options, Path file) throws IOException {
        options.setProperty("busy_timeout", BUSY_TIMEOUT_MILLIS);
        try {
            return JDBC.createConnection(url, options);
        } catch (SQLException failure) {
            throw failed(file, failure);
        }
    }

    private IOException failed(SQLException cause) {
        return failed(file, cause);
    }

    private static IOException failed(Path file, SQLException cause) {
        return new IOException(file + ": " + cause.getMessage(), cause);
    }

    private void checkFormat() throws SQLException, IOException {
        try (Statement statement = connection.createStatement();
                ResultSet result = statement.executeQuery(SELECT_FORMAT)) {
            int format = result.next() ? result.getInt(1) : 0;
            if (format > FORMAT || format < 1) {
                close();
                throw new UnsupportedFormatException(file, format);
            }
        }
    }

    /** Adds entries as one batch, which is on disk when this returns. */
    void append(long first, List<LogEntry> entries) throws IOException {
        byte[] bytes = LogBatch.encode(LogBatch.rows(entries));
        LogEntry last = entries.get(entries.size() - 1);
        put(new Stored(first, entries.size(), LogBatch.sum(bytes), bytes), last.at());
    }

    /** @param until when the batch's last entry was made, milliseconds since 1970 */
    void put(Stored batch, long until) throws IOException {
        try (PreparedStatement statement = connection.prepareStatement(INSERT_BATCH)) {
            statement.setLong(1, batch.first());
            statement.setInt(2, batch.count());
            statement.setLong(3, until);
            statement.setLong(4, batch.sum());
            statement.setBytes(5, batch.bytes());
            statement.executeUpdate();
        } catch (SQLException failure) {
            throw failed(failure);
        }
    }

    /** Begins a transaction for many batches, as for a copy of a segment. */
    void beginTransaction() throws IOException {
        try {
            connection.setAutoCommit(false);
        } catch (SQLException failure) {
            throw failed(failure);
        }
    }

    void commitTransaction() throws IOException {
        try {
            connection.commit();
            connection.setAutoCommit(true);
        } catch (SQLException failure) {
            throw failed(failure);
        }
    }

    /** The number that the next entry gets; the file's own first where it is empty. */
    long next() throws IOException {
        return selectNumber(SELECT_NEXT, first(file));
    }

    /** When its last entry was made, milliseconds since 1970; 0 where it is empty. */
    long until() throws IOException {
        return selectNumber(SELECT_UNTIL, 0);
    }

    private long selectNumber(String query, long defaultNumber) throws IOException {
        try (Statement statement = connection.createStatement();
                ResultSet result = statement.executeQuery(query)) {
            return result.next() ? result.getLong(1) : defaultNumber;
        } catch (SQLException failure) {
            throw failed(failure);
        }
    }

    /** Every batch in its order. */
    void batches(BatchConsumer consumer) throws IOException {
        batches(0, consumer);
    }

    /** The batches in their order, from the one that holds an entry's number on. */
    void batches(long number, BatchConsumer consumer) throws IOException {
        try (PreparedStatement statement = connection.prepareStatement(SELECT_FROM)) {
            statement.setLong(1, number);
            try (ResultSet result = statement.executeQuery()) {
                while (result.next()) {
                    consumer.accept(stored(result));
                }
            }
        } catch (SQLException failure) {
            throw failed(failure);
        }
    }

    /** The first batch that begins after a number, or null. */
    Stored after(long number) throws IOException {
        try (PreparedStatement statement = connection.prepareStatement(SELECT_AFTER)) {
            statement.setLong(1, number);
            try (ResultSet result = statement.executeQuery()) {
                return result.next() ? stored(result) : null;
            }
        } catch (SQLException failure) {
            throw failed(failure);
        }
    }

    private static Stored stored(ResultSet row) throws SQLException {
        return new Stored(row.getLong(1), row.getInt(2), row.getLong(3), row.getBytes(4));
    }

    /** Reports damage that SQLite finds in the file's structure. */
    void checkStructure(Consumer<String> damage) {
        try (Statement statement = connection.createStatement();
                ResultSet result = statement.executeQuery("pragma quick_check")) {
            while (result.next()) {
                if (!result.getString(1).equals("ok")) {
                    damage.accept(result.getString(1));
                }
            }
        } catch (SQLException failure) {
            damage.accept(failure.getMessage());
        }
    }

    /** The size of a file with its write-ahead log. */
    static long bytes(Path file) {
        return size(file) + size(Path.of(file + WAL_SUFFIX));
    }

    private static long size(Path file) {
        try {
            return Files.size(file);
        } catch (IOException missing) {
            return 0;
        }
    }

    /** Deletes a file with its write-ahead log. */
    static void delete(Path file) throws IOException {
        deleteWriteAheadLog(file);
        Files.deleteIfExists(file);
    }

    /** Deletes what SQLite keeps beside a file. */
    static void deleteWriteAheadLog(Path file) throws IOException {
        Files.deleteIfExists(Path.of(file + WAL_SUFFIX));
        Files.deleteIfExists(Path.of(file + SHARED_MEMORY_SUFFIX));
    }

    @Override
    public void close() {
        try {
            connection.close();
        } catch (SQLException ignored) {
            // what was committed is on disk; the next opening applies the write-ahead log
            return;
        }
    }
}
