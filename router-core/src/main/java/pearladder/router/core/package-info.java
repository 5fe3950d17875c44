/**
 * The protocol-independent part of a router: requests and their attempts, the actions of the routing policy,
 * timers, and the interfaces to workers, clients, metrics and recordings.
 *
 * <p>The package opens no sockets, starts no threads and reads the time from {@link pearladder.router.core.Timers},
 * so the same code runs in a router and in a simulation. All objects of a router are confined to one event loop.
 */
package pearladder.router.core;
