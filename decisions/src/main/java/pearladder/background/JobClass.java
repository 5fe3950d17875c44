package pearladder.background;

import pearladder.routing.api.TimeSpan;

/**
 * A class of background work as the operators allow it.
 *
 * @param rank 0 for what matters most; under strain the highest ranks stand still first
 * @param budget for each second; a kind of cost of 0 has no budget
 * @param saved budget of so many seconds may be saved up while nothing is done
 * @param atOnce pieces that run at a time
 * @param waiting pieces that wait at the most; past it the one that is due last is given up
 * @param retries of a piece that failed
 * @param backOff before the first of them; it doubles with each, up to a hundred times
 * @param atStop whether it is still done when the router stops
 */
public record JobClass(
        String name,
        int rank,
        ResourceCost budget,
        double saved,
        int atOnce,
        int waiting,
        int retries,
        TimeSpan backOff,
        boolean atStop) {}
