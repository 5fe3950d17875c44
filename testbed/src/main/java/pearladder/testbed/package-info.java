/**
 * Days: routers and engines as processes on loopback, traffic and troubles from one script, and the rules judged only by
 * what passed over the sockets, as the tapes of engines, list and clients have it.
 */
package pearladder.testbed;
