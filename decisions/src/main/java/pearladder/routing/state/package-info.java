/**
 * The state of a routing policy: workers, functions, requests and counts, and the code that keeps them up to date
 * without making decisions. Tuned values are passed in by the policy.
 */
package pearladder.routing.state;
