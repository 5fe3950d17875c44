/**
 * The routing policy: all decisions of one router on requests, retries, loads and workers.
 *
 * <p>{@link pearladder.routing.StickyFirstFitPolicy} implements the main path, sticky first fit (docs/design.md). Each
 * function has a short cached list of workers. A request is sent to the first cached worker with capacity, else to the
 * first worker with capacity in the function's ring order, which is then added to the list; if no worker has capacity,
 * the request is rejected at once. The policy uses these mechanisms:
 *
 * <ul>
 *   <li>{@code OutlierDetector} ejects workers that slow down, fail fast, hang or disappear before the endpoint list
 *       reports it. It compares workers only with the fleet's median, so that a slow model store or a general overload
 *       ejects no worker. A worker that serves all heavy functions would wrongly look slow; times are therefore
 *       measured relative to each function's typical time.
 *   <li>{@code SlowStart} protects newly started workers from overload. This router's rate of successes at a warm
 *       worker is a lower bound of its share of that worker's capacity. A worker that is warming up gets the
 *       share of that rate that matches its present capacity, times the overload factor of the settings, with a safety
 *       margin, enforced by a token bucket. Drawback: while this router has had few successes, the warm-up is slow.
 *   <li>{@code ReadinessLease} stops new work for workers that drain while discovery is unavailable. While the endpoint
 *       list is not confirmed, a worker gets new work only shortly after it has proved that it accepts work; other
 *       requests wait for the result of a health check. This costs a round trip for requests to workers without
 *       recent traffic; where the settings forbid health checks, only workers that keep executing requests are used.
 *   <li>{@code RetryPolicy} retries a request that may have been executed only if that is harmless: always for an
 *       idempotent one, within the scope and window of deduplication for one with an idempotency key, otherwise never.
 *       A retry budget, a share of the recent requests, prevents retry storms.
 *   <li>{@code InstancePreloader} renews instances in use before their idle timeout, adds one where requests exceed the
 *       concurrency of the loaded instances, and prewarms functions on demand, all within the load quota. It does
 *       nothing where workers accept no load requests.
 *   <li>{@code ModelLoadLimiter} prevents load storms, whatever their cause: a slow, overloaded, refusing or stopped
 *       model store; workers whose queues fill with requests that wait for loads; refusals that would send every
 *       request on to a worker where it starts one more load. The window of loads that this router may have in progress
 *       starts at its share of the fleet, grows with each load that completes in time, is halved when loads fail or are
 *       late, and shrinks by a quarter on refusals while workers report loads; extra instances that one hot worker
 *       loads do not count as a storm. A window below one load limits the rate of loads. Drawback: requests may be
 *       rejected while the workers recover from a loss of their instances.
 *   <li>{@code AdaptiveConcurrencyLimit} limits how many requests of this router a worker executes at once. It covers
 *       the part of a worker's capacity that counting instances can't show. The limit grows while requests that found
 *       their instance loaded are quick, and shrinks when they take a large part of their latency objective or the
 *       worker refuses as full, whichever router causes the load: requests that only wait hold memory. A limit below
 *       one request limits the rate of requests.
 *   <li>{@code AttemptOutcomeHandler} updates the mechanisms with the result of each ended attempt.
 * </ul>
 *
 * <p>All tuned values and decisions are in these classes. Their state is in {@code pearladder.routing.state}, the
 * interface for callers in {@code pearladder.routing.api}.
 */
package pearladder.routing;
