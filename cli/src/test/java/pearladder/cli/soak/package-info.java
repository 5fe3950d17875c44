/** A soak test of real router processes under random, overlapping faults, judged from outside by the platform's rules. */
package pearladder.cli.soak;
