/**
 * Runs scenarios: routers and emulated workers as processes on loopback, load and faults from one script, and
 * invariants that are checked only by what was observed at the workers, at the endpoint registry and at the clients.
 * Also replays of traces, grids of runs, reports and micro-benchmarks. docs/days.md describes the scripts.
 */
package pearladder.testbed;
