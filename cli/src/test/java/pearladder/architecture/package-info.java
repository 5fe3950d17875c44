/** Checks which module may import which. */
package pearladder.architecture;
