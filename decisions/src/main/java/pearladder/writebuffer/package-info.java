/**
 * Write buffer of the event log: decides when a batch of entries is written, which entries are dropped when the disk is
 * too slow, and which load requests wait until their entry is on disk. No I/O, no threads, no clock.
 */
package pearladder.writebuffer;
