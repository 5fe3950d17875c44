/** Simple baselines to compare the routing policy with; no router serves requests with them. */
package pearladder.baseline;
