/** Reads the routing settings, and whatever else the simulator and the platform state in the same JSON format. */
package pearladder.settings;
