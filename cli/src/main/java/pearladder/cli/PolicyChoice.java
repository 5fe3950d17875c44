package pearladder.cli;

import pearladder.routing.StickyFirstFitPolicy;
import pearladder.baseline.RandomChoice;
import pearladder.router.kserve.Router;

/** Who decides in a router: the module, or a baseline that it is compared with. */
enum PolicyChoice {
    MODULE(StickyFirstFitPolicy::new),
    RANDOM(RandomChoice::new);

    final Router.Maker maker;

    PolicyChoice(Router.Maker maker) {
        this.maker = maker;
    }
}
