/**
 * What a router that starts again may believe of what its last life had learnt. No I/O, no threads, no clock.
 */
package pearladder.recovery;
