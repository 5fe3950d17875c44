package pearladder.router;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.api.Event;
import pearladder.api.Span;
import pearladder.kserve.Route;
import pearladder.release.ReleaseAction;
import pearladder.release.ReleaseEvent;
import pearladder.release.Releases;
import pearladder.release.Target;

/** The hands of the release module: its journal, its timer, and its wishes for copies handed on to the policy. */
final class ReleaseDesk {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.releases");

    private final Vertx vertx;
    private final Articles articles;
    private final Releases module;
    private final Consumer<Event> toPolicy;
    private final Map<Target, Promise<String>> waiting = new HashMap<>();
    private final ReleaseJournal journal;
    private String chosen;
    private boolean ended;

    /** Opens the journal and follows what it holds; before the router is ready. */
    ReleaseDesk(Vertx vertx, Articles articles, Consumer<Event> toPolicy) throws IOException {
        this.vertx = vertx;
        this.articles = articles;
        this.toPolicy = toPolicy;
        this.module = new Releases(articles.facts().categories().stream().map(terms -> terms.remembered())
                .reduce(Span.NONE, Span::atLeast));
        this.journal = ReleaseJournal.open(articles.data());
    }

    void begin() {
        tell(new ReleaseEvent.Restored(journal.orders()));
    }

    void end() {
        ended = true;
        try {
            journal.close();
        } catch (IOException lost) {
            LOG.warn("the journal could not be closed: {}", lost.getMessage());
        }
    }

    /** The version that a call gets which names none; empty for the model without one. */
    String version(String call, String model, String key, String mark) {
        chosen = "";
        tell(new ReleaseEvent.CallCame(call, model, key, mark));
        return chosen;
    }

    void ended(String call, boolean well, List<String> engines) {
        tell(new ReleaseEvent.CallEnded(call, well, engines));
    }

    void left(String call) {
        tell(new ReleaseEvent.CallLeft(call));
    }

    /** The policy tells for what share copies of a function stand; functions without a version are none of ours. */
    void standing(String function, double share) {
        int at = function.lastIndexOf('@');
        if (at > 0) {
            tell(new ReleaseEvent.Standing(function.substring(0, at), function.substring(at + 1), share));
        }
    }

    /** An operator's order: the future brings null once it is kept and followed, or why it is not. */
    Future<String> order(Target target) {
        if (articles.modelOf(target.plan().model()) == null) {
            return Future.succeededFuture("plan.model: unknown model " + target.plan().model()
                    + "; name one that this router's file knows");
        }
        Promise<String> done = Promise.promise();
        waiting.put(target, done);
        tell(new ReleaseEvent.Ordered(target));
        return done.future();
    }

    List<String> status() {
        return module.status();
    }

    List<Target> targets() {
        return module.targets();
    }

    List<Target> history() {
        return journal.orders();
    }

    private void tell(ReleaseEvent event) {
        if (!ended) {
            module.on(Conductor.now(), event).forEach(this::act);
        }
    }

    private void act(ReleaseAction action) {
        if (action instanceof ReleaseAction.Use use) {
            chosen = use.version();
        } else if (action instanceof ReleaseAction.Prepare prepare) {
            want(prepare.model(), prepare.version(), prepare.like(), prepare.share());
        } else if (action instanceof ReleaseAction.Withdraw withdraw) {
            want(withdraw.model(), withdraw.version(), withdraw.version(), 0);
        } else if (action instanceof ReleaseAction.Keep keep) {
            keep(keep.target());
        } else if (action instanceof ReleaseAction.Refuse refuse) {
            answer(refuse.target(), refuse.why());
        } else if (action instanceof ReleaseAction.Wake wake) {
            vertx.setTimer(Math.max(1, wake.after().inMillis()), fired -> tell(new ReleaseEvent.Due()));
        } else if (action instanceof ReleaseAction.Log log) {
            LOG.info(log.text());
        }
    }

    private void want(String model, String version, String like, double share) {
        Articles.ModelTerms terms = articles.modelOf(model);
        if (terms != null) {
            toPolicy.accept(new Event.Wanted(Route.function(model, version), Route.function(model, like), share, terms.lanes(),
                    terms.memoryMb(), terms.usualLoad()));
        }
    }

    /** One after the other, off the event loop; a disk that can't take it leaves everything as it was. */
    private void keep(Target target) {
        vertx.<Void>executeBlocking(() -> {
            if (!journal.orders().contains(target)) {
                journal.append(target);
            }
            return null;
        }).onComplete(kept -> {
            tell(new ReleaseEvent.Kept(target));
            answer(target, null);
        }, failed -> {
            LOG.atError().addKeyValue("cause", failed.getMessage()).log("an order can't be kept and is refused");
            answer(target, "the journal can't be written: " + failed.getMessage()
                    + "; nothing was changed, make room or mend the disk and order again");
        });
    }

    private void answer(Target target, String refusal) {
        Promise<String> done = waiting.remove(target);
        if (done != null) {
            done.complete(refusal);
        }
    }
}
