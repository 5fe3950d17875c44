/**
 * Simulation of scenarios in virtual time. The routers run the production router core; the workers, the model store
 * and the endpoint registry come from the emulator; the clients, faults and invariants come from the testbed. Only the
 * network between them is implemented here. A run is single-threaded, and the same seed gives the same events on any
 * machine.
 */
package pearladder.simulation;
