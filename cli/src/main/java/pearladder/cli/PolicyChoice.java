package pearladder.cli;

import pearladder.baseline.RandomChoice;
import pearladder.router.core.PolicyFactory;
import pearladder.routing.StickyFirstFitPolicy;

/**
 * The policy of a router: this project's, or a baseline that it is compared with. The constants are values on
 * the command line and are written to results.
 */
enum PolicyChoice {
    /** The policy of this project. */
    MODULE(StickyFirstFitPolicy::new),
    /** A random worker for each request. */
    RANDOM((seed, settings, memoryMb) -> new RandomChoice(seed, settings));

    final PolicyFactory maker;

    PolicyChoice(PolicyFactory maker) {
        this.maker = maker;
    }
}
