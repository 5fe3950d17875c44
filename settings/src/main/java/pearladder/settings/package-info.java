/** Parses the routing settings and other JSON input of the simulator and the platform. */
package pearladder.settings;
