/**
 * Scenarios in virtual time. The routers run the router's own core, the workers, the model store and the endpoint
 * registry are those of the emulator, the clients, faults and invariants those of the testbed; only the network
 * between them is made here. A run is single-threaded and the same seed gives the same events on any machine.
 */
package pearladder.simulation;
