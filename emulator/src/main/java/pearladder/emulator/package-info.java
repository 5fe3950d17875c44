/**
 * Models of the environment of a router: workers, the model store, the endpoint registry. They do no I/O, start no
 * threads and read no clock but a {@link pearladder.emulator.Timeline}, so the same code runs over sockets and in
 * virtual time. Measurements of these models do not describe a real machine.
 */
package pearladder.emulator;
