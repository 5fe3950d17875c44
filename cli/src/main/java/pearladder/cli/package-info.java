/**
 * The command line: one class for each command, which parses its options and calls the module that does the work. Exit
 * codes: 0 done, 1 failed or an invariant broken, 2 a mistake in the command line or in a file.
 */
package pearladder.cli;
