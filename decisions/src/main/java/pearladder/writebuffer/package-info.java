/**
 * What waits to be kept on disk: what is left out when the disk can't follow, when a batch is written, and which orders
 * must wait until their record is safe. No I/O, no threads, no clock.
 */
package pearladder.writebuffer;
