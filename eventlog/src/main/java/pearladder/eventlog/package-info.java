/**
 * An append-only log of what a router did, in segments that are SQLite files. A row is a batch of entries with its
 * own checksum. {@link pearladder.eventlog.EventLog} writes a log, {@link pearladder.eventlog.EventLogReader}
 * reads one.
 */
package pearladder.eventlog;
