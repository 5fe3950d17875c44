/**
 * The models of {@link pearladder.emulator} over loopback sockets: workers that speak KServe v2, the discovery
 * service, a proxy that brings network faults, and a port by which a scenario injects faults.
 */
package pearladder.emulator.net;
