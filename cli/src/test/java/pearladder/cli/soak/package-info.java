/** A soak test of real router processes under random, overlapping faults, judged from outside. */
package pearladder.cli.soak;
