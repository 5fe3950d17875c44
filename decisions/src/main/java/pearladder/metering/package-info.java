/**
 * Memory-seconds by account: what models held on engines, from the records of any number of routers, split so that the
 * parts sum exactly to the whole. No I/O, no clock.
 */
package pearladder.metering;
