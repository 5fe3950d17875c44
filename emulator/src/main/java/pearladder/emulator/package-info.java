/**
 * Models of what surrounds a router: workers, the model store, the endpoint registry. They do no I/O, start no
 * threads and read no clock but a {@link pearladder.emulator.Timeline}, so the same code runs over sockets and in
 * virtual time. Figures obtained with them are those of a model, not of a real machine.
 */
package pearladder.emulator;
