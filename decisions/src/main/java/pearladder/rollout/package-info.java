/**
 * Gradual rollout of model versions: decides which version of a model a request gets, when the next step may be taken
 * and when the rollout is paused or rolled back. No I/O, no threads, no clock. Which worker runs the request stays
 * with the routing policy, to which each version is a function of its own. docs/versions.md compares the alternatives.
 */
package pearladder.rollout;
