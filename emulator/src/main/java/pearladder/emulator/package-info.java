/**
 * Stand-ins for what is outside: engines, the model shelf, the engine list. The model does no I/O and has no clock of
 * its own but a {@link pearladder.emulator.Timeline}, so the same code runs over sockets and in virtual time. Figures are
 * those of a model, never of a real machine.
 */
package pearladder.emulator;
