/**
 * Memory usage by tenant: divides the memory that models held on workers, according to the event logs of any number of
 * routers, among tenants so that the shares sum exactly to the total. No I/O, no clock.
 */
package pearladder.metering;
