/**
 * The router: sockets, timers, the list, and one instance of the decision module. It reports what happened and
 * does what it is told; nothing of what the module decides is decided here. All of it runs on one event loop.
 */
package pearladder.router.kserve;
