/**
 * Days in virtual time. The routers' calls, lists and releases are the router's own code, the engines and the shelf are the
 * emulator's, the clients, troubles and rules are the days'; only the network between them is made here.
 */
package pearladder.simulation;
