/**
 * Converts the event logs of several routers to observations of instances and computes the memory-seconds of tenants.
 */
package pearladder.eventlog.metering;
