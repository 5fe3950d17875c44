package pearladder.cli;

import pearladder.baseline.RandomChoice;
import pearladder.router.kserve.Router;
import pearladder.routing.StickyFirstFitPolicy;

/** Who decides in a router: the module, or a baseline that it is compared with. */
enum PolicyChoice {
    MODULE(StickyFirstFitPolicy::new),
    RANDOM(RandomChoice::new);

    final Router.Maker maker;

    PolicyChoice(Router.Maker maker) {
        this.maker = maker;
    }
}
