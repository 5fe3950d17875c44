/**
 * What a router does with its calls, legs, engines' list and releases, without a socket, a thread or a clock of its own: the
 * same code runs behind the real door and in virtual time.
 */
package pearladder.router.core;
