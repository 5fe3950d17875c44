/**
 * Entries of the event log on their way to the disk: decides when a batch is written, which entries are dropped when
 * the disk is too slow, and which load requests wait until their entry is on disk. No I/O, no threads, no clock.
 */
package pearladder.writebuffer;
