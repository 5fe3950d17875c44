/**
 * The KServe v2 router: HTTP servers and connections, timers, the endpoint list, and one routing policy. It reports
 * events to the policy and executes its actions; no routing decision is made here. All of it runs on one event loop.
 */
package pearladder.router.kserve;
