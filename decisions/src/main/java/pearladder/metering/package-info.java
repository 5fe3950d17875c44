/**
 * Memory usage by tenant: what models held on workers, from the event logs of any number of routers, divided among
 * tenants so that the shares sum exactly to the whole. No I/O, no clock.
 */
package pearladder.metering;
