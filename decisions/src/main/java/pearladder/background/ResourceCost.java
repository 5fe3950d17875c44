package pearladder.background;

/**
 * What a piece of work costs, or what a class may spend in a second.
 *
 * @param cpu seconds of a core
 * @param bytes read or written
 * @param orders to engines
 */
public record ResourceCost(double cpu, double bytes, double orders) {
    public static final ResourceCost NONE = new ResourceCost(0, 0, 0);

    ResourceCost plus(ResourceCost other, double times) {
        return new ResourceCost(cpu + times * other.cpu, bytes + times * other.bytes, orders + times * other.orders);
    }

    ResourceCost atMost(ResourceCost most) {
        return new ResourceCost(Math.min(cpu, most.cpu), Math.min(bytes, most.bytes), Math.min(orders, most.orders));
    }

    ResourceCost times(double factor) {
        return new ResourceCost(cpu * factor, bytes * factor, orders * factor);
    }

    /** The largest of the three as a share of a budget; a kind of cost without a budget is none. */
    double shareOf(ResourceCost budget) {
        return Math.max(share(cpu, budget.cpu), Math.max(share(bytes, budget.bytes), share(orders, budget.orders)));
    }

    private static double share(double cost, double budget) {
        return budget <= 0 ? 0 : cost / budget;
    }
}
