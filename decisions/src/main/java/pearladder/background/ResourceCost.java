package pearladder.background;

/**
 * Cost of a job, or budget of a job class per second.
 *
 * @param cpuSeconds CPU time in seconds of one core
 * @param bytes number of bytes read or written
 * @param loadRequests number of load requests sent to workers
 */
public record ResourceCost(double cpuSeconds, double bytes, double loadRequests) {
    /** No cost; as a budget, no limit. */
    public static final ResourceCost NONE = new ResourceCost(0, 0, 0);

    ResourceCost plus(ResourceCost other) {
        return new ResourceCost(cpuSeconds + other.cpuSeconds, bytes + other.bytes, loadRequests + other.loadRequests);
    }

    ResourceCost minus(ResourceCost other) {
        return new ResourceCost(cpuSeconds - other.cpuSeconds, bytes - other.bytes, loadRequests - other.loadRequests);
    }

    ResourceCost atMost(ResourceCost limit) {
        return new ResourceCost(
                Math.min(cpuSeconds, limit.cpuSeconds),
                Math.min(bytes, limit.bytes),
                Math.min(loadRequests, limit.loadRequests));
    }

    ResourceCost times(double factor) {
        return new ResourceCost(cpuSeconds * factor, bytes * factor, loadRequests * factor);
    }

    /** Returns the largest of the three as a multiple of the budget; a kind of cost without a budget counts as 0. */
    double shareOf(ResourceCost budget) {
        double share = Math.max(share(bytes, budget.bytes), share(loadRequests, budget.loadRequests));
        return Math.max(share(cpuSeconds, budget.cpuSeconds), share);
    }

    private static double share(double cost, double budget) {
        return budget <= 0 ? 0 : cost / budget;
    }
}
