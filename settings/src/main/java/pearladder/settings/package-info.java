/** Reads the operators' facts object and what else both their simulator and their platform word alike. */
package pearladder.settings;
