/**
 * An append-only record of what a router did, in segments that are SQLite files. A batch is one row with its own checksum;
 * {@link pearladder.eventlog.Records} writes, {@link pearladder.eventlog.Archive} reads what stands in a folder.
 */
package pearladder.eventlog;
