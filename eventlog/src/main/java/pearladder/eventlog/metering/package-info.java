/**
 * Reads the event logs of several routers as observations of instances, and sums up the memory-seconds of tenants.
 */
package pearladder.eventlog.metering;
