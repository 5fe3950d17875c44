/**
 * The rules of delivery: whether a request may be sent, retried or answered, a load request sent, a connection closed
 * or the router stopped now. They hold regardless of the decisions of the routing policy and of failures. No I/O, no
 * threads, no clock: the caller passes the current time with each call.
 */
package pearladder.delivery;
