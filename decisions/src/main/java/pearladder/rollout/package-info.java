/**
 * Gradual versions: which version of a model a call gets, when a step may be taken and when it must be taken back. A
 * decision module of its own: no I/O, no threads, no clock. Which worker runs the call stays with the policy, to which a
 * version is a function of its own. docs/versions.md says which ways were weighed.
 */
package pearladder.rollout;
