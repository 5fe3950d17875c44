/**
 * Background jobs of a router: decides which is started when, within which budgets, and which is dropped. No I/O, no
 * threads, no clock; the caller runs the jobs and reports how they ended.
 */
package pearladder.background;
