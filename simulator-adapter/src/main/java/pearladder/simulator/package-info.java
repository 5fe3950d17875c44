/** Implements the protocol of the operators' simulator: lines of JSON arrays on standard input and output. */
package pearladder.simulator;
