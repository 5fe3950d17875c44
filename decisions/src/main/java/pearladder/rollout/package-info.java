/**
 * Gradual rollout of model versions: decides which version of a model a request gets, when the next step may be taken
 * and when the rollout is paused or rolled back. No I/O, no threads, no clock. The routing policy chooses the worker of
 * the request; it treats each version as a separate function. docs/versions.md compares the alternatives.
 */
package pearladder.rollout;
