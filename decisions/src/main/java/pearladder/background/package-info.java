/**
 * Background work of a router: what is begun when, within which budgets, and what is given up. No I/O, no threads, no clock;
 * something else does the work and tells how it ended.
 */
package pearladder.background;
