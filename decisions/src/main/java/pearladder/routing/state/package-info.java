/**
 * What a routing policy keeps: workers, functions, requests and counts, with the upkeep that decides nothing. Tuned
 * values are not found here: they come as arguments from the policy.
 */
package pearladder.routing.state;
