/**
 * The protocol-independent part of a router: requests and their attempts, the actions of the routing policy,
 * timers, and the interfaces to workers, clients, metrics and recordings.
 *
 * <p>It opens no socket and starts no thread, and it takes the time from {@link pearladder.router.core.Timers}; so
 * the same code runs in a router and in a simulation. One event loop owns all of a router's objects and makes
 * every call on them.
 */
package pearladder.router.core;
