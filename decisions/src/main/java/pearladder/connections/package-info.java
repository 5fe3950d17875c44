/** Whose connection is opened, used or closed on a router that may hold few sockets: no I/O, no clock. */
package pearladder.connections;
