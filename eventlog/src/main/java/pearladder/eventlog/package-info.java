/**
 * An append-only log of a router's events in segments, which are SQLite files. A row is a batch of entries with its
 * own checksum. {@link pearladder.eventlog.EventLog} writes a log, {@link pearladder.eventlog.EventLogReader}
 * reads it.
 */
package pearladder.eventlog;
