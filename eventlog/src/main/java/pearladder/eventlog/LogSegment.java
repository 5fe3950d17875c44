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

/** One file of an event log: an SQLite database of batches, whose key is the number of their first entry. */
final class LogSegment implements AutoCloseable {
    /** The format that is written; this format and older ones can be read. */
    static final int FORMAT = 1;

    /** Pattern of a segment's file name, which contains the number of its first entry. */
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
     * A batch as it is stored in the file.
     *
     * @param first number of its first entry
     * @param count number of its entries when it was written
     * @param checksum checksum that was written with it
     * @param bytes its entries as encoded by {@link LogBatch}
     */
    record StoredBatch(long first, int count, long checksum, byte[] bytes) {
        /** Returns a description of the damage, or an empty string. */
        String damage() {
            if (LogBatch.checksum(bytes) != checksum) {
                return "checksum mismatch";
            }
            try {
                return LogBatch.decode(bytes).size() <= count ? "" : "more entries than its count";
            } catch (IOException unreadable) {
                return unreadable.getMessage();
            }
        }
    }

    /** Receives batches in their order. */
    interface BatchConsumer {
        void accept(StoredBatch batch) throws IOException;
    }

    final Path file;
    private final Connection connection;

    private LogSegment(Path file, Connection connection) {
        this.file = file;
        this.connection = connection;
    }

    /** Returns the file of a segment by the number of its first entry. */
    static Path fileFor(Path directory, long first) {
        return directory.resolve(String.format(Locale.ROOT, FILE_FORMAT, first));
    }

    /** Returns the number of a segment's first entry from its file name, or -1 if the file is not a segment. */
    static long firstNumber(Path file) {
        String name = file.getFileName().toString();
        return name.matches(FILE_PATTERN) ? Long.parseLong(name.substring(NUMBER_START, NUMBER_END)) : -1;
    }

    /** Opens or creates a segment for writing; recovers all batches that were committed before a crash. */
    static LogSegment openForWriting(Path file) throws IOException {
        Properties options = new Properties();
        // A batch is on disk when its commit returns. SQLite checkpoints the write-ahead log from time to time, each
        // time with a sync.
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
            throw segment.ioException(failure);
        }
        return segment;
    }

    /** Opens a segment for reading, also while it is being written; the file system may be read-only. */
    static LogSegment openForReading(Path file) throws IOException {
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
            throw immutable.ioException(failure);
        }
    }

    private static Connection connect(String url, Properties options, Path file) throws IOException {
        options.setProperty("busy_timeout", BUSY_TIMEOUT_MILLIS);
        try {
            return JDBC.createConnection(url, options);
        } catch (SQLException failure) {
            throw ioException(file, failure);
        }
    }

    private IOException ioException(SQLException cause) {
        return ioException(file, cause);
    }

    private static IOException ioException(Path file, SQLException cause) {
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

    /** Appends entries as one batch, which is on disk when this method returns. */
    void append(long first, List<LogEntry> entries) throws IOException {
        byte[] bytes = LogBatch.encode(LogBatch.rows(entries));
        LogEntry last = entries.get(entries.size() - 1);
        put(new StoredBatch(first, entries.size(), LogBatch.checksum(bytes), bytes), last.at());
    }

    /** @param lastEntryMillis time of the batch's last entry, in milliseconds since 1970 */
    void put(StoredBatch batch, long lastEntryMillis) throws IOException {
        try (PreparedStatement statement = connection.prepareStatement(INSERT_BATCH)) {
            statement.setLong(1, batch.first());
            statement.setInt(2, batch.count());
            statement.setLong(3, lastEntryMillis);
            statement.setLong(4, batch.checksum());
            statement.setBytes(5, batch.bytes());
            statement.executeUpdate();
        } catch (SQLException failure) {
            throw ioException(failure);
        }
    }

    /** Begins a transaction for several batches, as when a segment is rewritten. */
    void beginTransaction() throws IOException {
        try {
            connection.setAutoCommit(false);
        } catch (SQLException failure) {
            throw ioException(failure);
        }
    }

    void commitTransaction() throws IOException {
        try {
            connection.commit();
            connection.setAutoCommit(true);
        } catch (SQLException failure) {
            throw ioException(failure);
        }
    }

    /** Returns the number of the next entry; the number in the file name if the segment is empty. */
    long nextNumber() throws IOException {
        return selectNumber(SELECT_NEXT, firstNumber(file));
    }

    /** Returns the time of the last entry, in milliseconds since 1970; 0 if the segment is empty. */
    long lastEntryMillis() throws IOException {
        return selectNumber(SELECT_UNTIL, 0);
    }

    private long selectNumber(String query, long defaultNumber) throws IOException {
        try (Statement statement = connection.createStatement();
                ResultSet result = statement.executeQuery(query)) {
            return result.next() ? result.getLong(1) : defaultNumber;
        } catch (SQLException failure) {
            throw ioException(failure);
        }
    }

    /** Reads all batches in their order. */
    void forEachBatch(BatchConsumer consumer) throws IOException {
        forEachBatch(0, consumer);
    }

    /** Reads batches in their order, starting with the one that contains an entry's number. */
    void forEachBatch(long number, BatchConsumer consumer) throws IOException {
        try (PreparedStatement statement = connection.prepareStatement(SELECT_FROM)) {
            statement.setLong(1, number);
            try (ResultSet result = statement.executeQuery()) {
                while (result.next()) {
                    consumer.accept(readBatch(result));
                }
            }
        } catch (SQLException failure) {
            throw ioException(failure);
        }
    }

    /** Returns the first batch that starts after a number, or null. */
    StoredBatch firstBatchAfter(long number) throws IOException {
        try (PreparedStatement statement = connection.prepareStatement(SELECT_AFTER)) {
            statement.setLong(1, number);
            try (ResultSet result = statement.executeQuery()) {
                return result.next() ? readBatch(result) : null;
            }
        } catch (SQLException failure) {
            throw ioException(failure);
        }
    }

    private static StoredBatch readBatch(ResultSet row) throws SQLException {
        return new StoredBatch(row.getLong(1), row.getInt(2), row.getLong(3), row.getBytes(4));
    }

    /** Reports the damage that SQLite finds in the file's structure. */
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

    /** Returns the size of a file including its write-ahead log, in bytes. */
    static long sizeBytes(Path file) {
        return size(file) + size(Path.of(file + WAL_SUFFIX));
    }

    private static long size(Path file) {
        try {
            return Files.size(file);
        } catch (IOException missing) {
            return 0;
        }
    }

    /** Deletes a file and its write-ahead log. */
    static void delete(Path file) throws IOException {
        deleteWriteAheadLog(file);
        Files.deleteIfExists(file);
    }

    /** Deletes the write-ahead log and the shared memory file that SQLite stores next to a file. */
    static void deleteWriteAheadLog(Path file) throws IOException {
        Files.deleteIfExists(Path.of(file + WAL_SUFFIX));
        Files.deleteIfExists(Path.of(file + SHARED_MEMORY_SUFFIX));
    }

    @Override
    public void close() {
        try {
            connection.close();
        } catch (SQLException ignored) {
            // committed batches are on disk; the write-ahead log is applied when the file is opened again
            return;
        }
    }
}
