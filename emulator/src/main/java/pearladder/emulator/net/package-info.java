/**
 * The models of {@link pearladder.emulator} over loopback sockets: workers that speak KServe v2, the discovery
 * service, a proxy that emulates network faults, and a port for injecting faults.
 */
package pearladder.emulator.net;
