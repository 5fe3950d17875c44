/** Reads the records of several routers as evidence of what models held, and sums up what the usage module makes of it. */
package pearladder.eventlog.metering;
