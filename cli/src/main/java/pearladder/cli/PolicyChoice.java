package pearladder.cli;

import pearladder.baseline.RandomChoice;
import pearladder.router.core.PolicyFactory;
import pearladder.routing.StickyFirstFitPolicy;

/** Who decides in a router: the module, or a baseline that it is compared with. */
enum PolicyChoice {
    MODULE(StickyFirstFitPolicy::new),
    RANDOM(RandomChoice::new);

    final PolicyFactory maker;

    PolicyChoice(PolicyFactory maker) {
        this.maker = maker;
    }
}
