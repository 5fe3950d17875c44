/**
 * What one router on the operators' platform needs as the fleet grows: the deployed program as a process, against
 * workers, discovery and clients of this process, with the same traffic for each size of fleet.
 */
package pearladder.testbed.growth;
