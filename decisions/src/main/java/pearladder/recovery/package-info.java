/**
 * Decides how much of the routing state from before a restart a router may reuse. No I/O, no threads, no clock.
 */
package pearladder.recovery;
