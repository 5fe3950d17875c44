/**
 * Background jobs of a router: decides which job is started when, within the budget of its class, and which one is
 * dropped. No I/O, no threads, no clock; the caller runs the jobs and reports how they ended.
 */
package pearladder.background;
