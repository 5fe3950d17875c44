/**
 * Decides which connections a router opens, uses and closes within its limit of file descriptors, and how it shuts down
 * gracefully. No I/O, no threads, no clock: the caller passes the current time with each event.
 */
package pearladder.connections;
