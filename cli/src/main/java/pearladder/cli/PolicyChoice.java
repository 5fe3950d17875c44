package pearladder.cli;

import pearladder.baseline.RandomChoice;
import pearladder.router.kserve.Router;
import pearladder.routing.StickyFirstFitPolicy;

/**
 * The policy of a router: this project's, or a baseline that it is compared with. The constants are words of
 * the command line and stand in results.
 */
enum PolicyChoice {
    /** The policy of this project. */
    MODULE(StickyFirstFitPolicy::new),
    /** A random worker for each request. */
    RANDOM(RandomChoice::new);

    final Router.Maker maker;

    PolicyChoice(Router.Maker maker) {
        this.maker = maker;
    }
}
