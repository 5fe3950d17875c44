/** Simple policies to compare the routing policy with; no router serves with them. */
package pearladder.baseline;
