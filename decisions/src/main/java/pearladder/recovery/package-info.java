/**
 * Decides how much of its predecessor's routing state a restarted router may use again. No I/O, no threads, no clock.
 */
package pearladder.recovery;
